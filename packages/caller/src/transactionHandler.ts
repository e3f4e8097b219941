import type { StepHandler } from '@auburngrade/coordination';
import type { TransactionReply, TransactionStep } from './generated/auburngrade/caller/v1/caller';

/** One interactive transaction as the server sees it. */
type TransactionHandler = StepHandler<TransactionStep, TransactionReply>;

export default TransactionHandler;
