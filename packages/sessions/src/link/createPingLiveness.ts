import LinkLiveness from './linkLiveness';

/** Time limit for the first message on a new stream, and for the answer to a ping. */
const ANSWER_TIMEOUT_MS = 600;
/** The other VM is asked for a sign of life after this time with calls unanswered. */
const PING_AFTER_MS = 400;
/** A stream that was silent for longer may be dead: a call on it waits for a ping. */
const PING_BEFORE_CALL_AFTER_MS = 2_000;
const CLOSE_UNUSED_AFTER_MS = 30_000;

class PingLiveness extends LinkLiveness {
  override readonly isKeptOpen = false;

  override check(activity: Parameters<LinkLiveness['check']>[0]) {
    const { isUp, hasUnansweredCalls, sinceOpenedMs, sinceReceivedMs, sincePingMs } = activity;
    if (!isUp) return sinceOpenedMs > ANSWER_TIMEOUT_MS ? 'close' : 'keep';
    if (sincePingMs !== undefined) return sincePingMs > ANSWER_TIMEOUT_MS ? 'close' : 'keep';
    if (hasUnansweredCalls) return sinceReceivedMs > PING_AFTER_MS ? 'ping' : 'keep';
    return activity.sinceUsedMs > CLOSE_UNUSED_AFTER_MS ? 'close' : 'keep';
  }

  override needsPingBefore(sinceReceivedMs: number): boolean {
    return sinceReceivedMs > PING_BEFORE_CALL_AFTER_MS;
  }
}

/**
 * For streams that carry calls only. Pings are sent only while calls are unanswered, and before a call on
 * a stream that was idle, so that streams at rest cost nothing however many VMs keep them.
 */
const createPingLiveness = (): LinkLiveness => new PingLiveness();

export default createPingLiveness;
