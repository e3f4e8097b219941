import type { RefusalError } from '@auburngrade/coordination';
import type WorkTracker from './workTracker';

/**
 * Settles like `work`, or rejects with `refuse()` when the VM stops waiting for work, so that each
 * accepted request is answered before its connection closes. What `work` does later is dropped.
 */
const answerByCutOff = async <Result>(
  work: Promise<Result>,
  onCutOff: WorkTracker['onCutOff'],
  refuse: () => RefusalError,
): Promise<Result> => {
  let unsubscribe = (): void => {};
  const cutOff = new Promise<never>((_resolve, reject) => {
    unsubscribe = onCutOff(() => reject(refuse()));
  });
  try {
    return await Promise.race([work, cutOff]);
  } finally {
    unsubscribe();
  }
};

export default answerByCutOff;
