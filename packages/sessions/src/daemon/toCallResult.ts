import type { CallResult } from '../generated/auburngrade/session/v1/session';
import type CallOutcome from '../group/callOutcome';

/** Encodes the outcome of a group's call for the VM that sent it; the link adds the number of the call. */
const toCallResult = (outcome: CallOutcome): CallResult => ({
  call: 0,
  isNotOwner: outcome.kind === 'notOwner',
  needsValues: false,
  rows: outcome.kind === 'complete' ? [...outcome.rows] : [],
  signature: outcome.kind === 'complete' ? outcome.signature : '',
  refusalCode: outcome.kind === 'refused' ? outcome.code : '',
  message: outcome.kind === 'refused' ? outcome.message : '',
  position: outcome.kind === 'notOwner' ? undefined : outcome.position,
});

export default toCallResult;
