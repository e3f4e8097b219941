/** Why a request was not queued, and when one like it could be served. */
interface QueueRefusal {
  code: 'queueFull' | 'queueTimeout';
  retryAfterMs: number;
}

export default QueueRefusal;
