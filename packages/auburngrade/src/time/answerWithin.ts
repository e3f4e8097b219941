/** Resolves with what the work gives, or with false when that takes longer than `waitMs`. */
const answerWithin = (waitMs: number, work: Promise<boolean>): Promise<boolean> =>
  new Promise((resolve, reject) => {
    const timer = setTimeout(() => resolve(false), Math.max(0, waitMs));
    timer.unref();
    work.then(resolve, reject).finally(() => clearTimeout(timer));
  });

export default answerWithin;
