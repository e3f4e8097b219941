import type { TransactionReply, TransactionStep } from './generated/auburngrade/caller/v1/caller';

/** One interactive transaction as the server sees it. */
interface TransactionHandler {
  step(step: TransactionStep): Promise<TransactionReply>;
  /** The caller's stream is gone; what is open is rolled back. */
  abort(): void;
}

export default TransactionHandler;
