interface Waiting<Reply> {
  resolve(reply: Reply): void;
  reject(error: Error): void;
}

/**
 * Matches the replies of a stream to its steps by number; a reply to no waiting step is
 * dropped, and a lost stream fails every step that waits or comes later.
 */
const createReplyMatcher = <Reply extends { step: number }>() => {
  const waiting = new Map<number, Waiting<Reply>>();
  let lastStep = 0;
  let lost: Error | undefined;
  return {
    /** Numbers the next step and gives the promise of its reply. */
    next: (): { step: number; reply: Promise<Reply> } => {
      lastStep += 1;
      const step = lastStep;
      const reply = new Promise<Reply>((resolve, reject) => {
        if (lost) reject(lost);
        else waiting.set(step, { resolve, reject });
      });
      return { step, reply };
    },
    receive: (reply: Reply): void => {
      waiting.get(reply.step)?.resolve(reply);
      waiting.delete(reply.step);
    },
    /** Whether a step sent now would certainly not arrive. */
    isLost: (): boolean => lost !== undefined,
    fail: (error: Error): void => {
      lost ??= error;
      waiting.forEach(({ reject }) => reject(error));
      waiting.clear();
    },
  };
};

export default createReplyMatcher;
