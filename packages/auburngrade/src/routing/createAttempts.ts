import { mayHaveRun } from '@auburngrade/coordination';

/**
 * The attempts of one request at different VMs. An attempt whose VM has fallen silent counts
 * as failed, but its answer is taken when it comes after all: repeats carry the request's id,
 * so that all attempts together have one effect.
 */
const createAttempts = <Result>() => {
  const unanswered = new Set<Promise<Result>>();
  return {
    /** Makes an attempt; resolves with the first answer to any. @throws RefusalError */
    make: (target: string, attempt: (onSilent: () => void) => Promise<Result>): Promise<Result> =>
      new Promise((resolve, reject) => {
        unanswered.forEach((earlier) => earlier.then(resolve, () => {}));
        const answer = attempt(() => {
          unanswered.add(answer);
          reject(mayHaveRun('peerUnreachable', `VM ${target} does not answer`));
        });
        answer.then(resolve, reject);
      }),
    /** The answer of a silent VM that comes within a time, else the given refusal. */
    lateAnswer: (waitMs: number, refusal: Error): Promise<Result> =>
      new Promise((resolve, reject) => {
        const giveUp = (): void => reject(refusal);
        if (unanswered.size === 0) giveUp();
        const timer = setTimeout(giveUp, Math.max(0, waitMs));
        Promise.any(unanswered)
          .then(resolve, giveUp)
          .finally(() => clearTimeout(timer));
      }),
  };
};

export default createAttempts;
