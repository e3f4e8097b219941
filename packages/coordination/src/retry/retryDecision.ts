/** Whether and when a failed request is attempted again. */
type RetryDecision = { kind: 'retry'; delayMs: number } | { kind: 'giveUp' };

export default RetryDecision;
