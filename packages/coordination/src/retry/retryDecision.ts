/** Whether a failed request is retried, and after what delay. */
type RetryDecision = { kind: 'retry'; delayMs: number } | { kind: 'giveUp' };

export default RetryDecision;
