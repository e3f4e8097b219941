import type { GroupCall } from '../generated/auburngrade/session/v1/session';
import countTextBytes from './countTextBytes';

/** Bytes that V8 holds for the texts of a call, without its session's values. */
const countCallBytes = ({
  text,
  requestId,
  prepared,
}: Pick<GroupCall, 'text' | 'requestId' | 'prepared'>): number =>
  countTextBytes(text) +
  countTextBytes(requestId) +
  (prepared ? countTextBytes(prepared.shape) + countTextBytes(prepared.argumentsText) : 0);

export default countCallBytes;
