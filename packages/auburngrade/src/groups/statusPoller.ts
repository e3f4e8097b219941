import type createStatusPoller from './createStatusPoller';

/** Polls one member's status. */
type StatusPoller = ReturnType<typeof createStatusPoller>;

export default StatusPoller;
