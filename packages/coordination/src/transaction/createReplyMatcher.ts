interface PendingReply<Reply> {
  resolve(reply: Reply): void;
  reject(error: Error): void;
}

/**
 * Matches replies on a transaction stream to steps by number. Replies that match no pending
 * step are dropped; after a stream error all pending and later steps are rejected.
 */
const createReplyMatcher = <Reply extends { step: number }>() => {
  const pendingReplies = new Map<number, PendingReply<Reply>>();
  let lastStep = 0;
  let streamError: Error | undefined;
  return {
    /** Allocates the next step number and returns it with a promise of the reply. */
    allocateStep: (): { step: number; reply: Promise<Reply> } => {
      lastStep += 1;
      const step = lastStep;
      const reply = new Promise<Reply>((resolve, reject) => {
        if (streamError) reject(streamError);
        else pendingReplies.set(step, { resolve, reject });
      });
      return { step, reply };
    },
    resolveReply: (reply: Reply): void => {
      pendingReplies.get(reply.step)?.resolve(reply);
      pendingReplies.delete(reply.step);
    },
    /** Whether the stream has failed: a step sent now would certainly not arrive. */
    hasFailed: (): boolean => streamError !== undefined,
    fail: (error: Error): void => {
      streamError ??= error;
      pendingReplies.forEach(({ reject }) => reject(error));
      pendingReplies.clear();
    },
  };
};

export default createReplyMatcher;
