/** What a link knows of its stream; times in ms. */
interface StreamActivity {
  /** Whether anything was received since the stream was opened. */
  isUp: boolean;
  hasUnansweredCalls: boolean;
  sinceOpenedMs: number;
  sinceReceivedMs: number;
  sinceUsedMs: number;
  /** Since the ping that was not answered yet; undefined without one. */
  sincePingMs: number | undefined;
}

/** Decides when a stream to another VM counts as dead; streams can go silent without an error. */
abstract class LinkLiveness {
  /** Whether the stream is reopened when it ends; otherwise only when it is needed. */
  abstract readonly isKeptOpen: boolean;
  abstract check(activity: StreamActivity): 'keep' | 'ping' | 'close';
  /** Whether a call must wait for the answer to a ping, so that it is not lost on a dead stream. */
  abstract needsPingBefore(sinceReceivedMs: number): boolean;
}

export default LinkLiveness;
