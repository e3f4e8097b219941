import LinkLiveness from './linkLiveness';

/** Time limit for the first message on a new stream. */
const FIRST_MESSAGE_TIMEOUT_MS = 600;

class MessageLiveness extends LinkLiveness {
  override readonly isKeptOpen = true;

  constructor(private readonly silenceTimeoutMs: number) {
    super();
  }

  override check({ isUp, sinceOpenedMs, sinceReceivedMs }: Parameters<LinkLiveness['check']>[0]) {
    const isSilent = isUp
      ? sinceReceivedMs > this.silenceTimeoutMs
      : sinceOpenedMs > FIRST_MESSAGE_TIMEOUT_MS;
    return isSilent ? 'close' : 'keep';
  }

  override needsPingBefore(): boolean {
    return false;
  }
}

/** For streams on which the other VM sends messages at a steady rate, such as heartbeats. */
const createMessageLiveness = (silenceTimeoutMs: number): LinkLiveness =>
  new MessageLiveness(silenceTimeoutMs);

export default createMessageLiveness;
