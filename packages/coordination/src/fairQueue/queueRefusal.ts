/** Why a request was not queued, and after which time a retry could succeed. */
interface QueueRefusal {
  code: 'queueFull' | 'queueTimeout';
  retryAfterMs: number;
}

export default QueueRefusal;
