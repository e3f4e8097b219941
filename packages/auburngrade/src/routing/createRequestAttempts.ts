import { createMayHaveRunError } from '@auburngrade/coordination';

/**
 * Tracks the attempts of one request at different VMs. An attempt at a VM that stops responding
 * counts as failed, but its late answer is still used: all attempts carry the same request id,
 * so together they take effect at most once.
 */
const createRequestAttempts = <Result>() => {
  const silentAnswers = new Set<Promise<Result>>();
  return {
    /** Runs an attempt; resolves with the first answer to any so far. @throws RefusalError */
    run: (vm: string, attempt: (onSilent: () => void) => Promise<Result>): Promise<Result> =>
      new Promise((resolve, reject) => {
        silentAnswers.forEach((earlier) => earlier.then(resolve, () => {}));
        const answer = attempt(() => {
          silentAnswers.add(answer);
          reject(createMayHaveRunError('peerUnreachable', `VM ${vm} does not answer`));
        });
        answer.then(resolve, reject);
      }),
    /** Waits up to `waitMs` for the answer of a silent VM; rejects with `refusal` without one. */
    waitForLateAnswer: (waitMs: number, refusal: Error): Promise<Result> =>
      new Promise((resolve, reject) => {
        const giveUp = (): void => reject(refusal);
        if (silentAnswers.size === 0) giveUp();
        const timer = setTimeout(giveUp, Math.max(0, waitMs));
        Promise.any(silentAnswers)
          .then(resolve, giveUp)
          .finally(() => clearTimeout(timer));
      }),
  };
};

export default createRequestAttempts;
