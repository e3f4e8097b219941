/** Resolves with the result of `work`, or with false if that takes longer than `waitMs`. */
const resolveWithin = (waitMs: number, work: Promise<boolean>): Promise<boolean> =>
  new Promise((resolve, reject) => {
    const timer = setTimeout(() => resolve(false), Math.max(0, waitMs));
    timer.unref();
    work.then(resolve, reject).finally(() => clearTimeout(timer));
  });

export default resolveWithin;
