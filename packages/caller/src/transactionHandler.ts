import type { StepHandler } from '@auburngrade/coordination';
import type { TransactionReply, TransactionStep } from './generated/auburngrade/caller/v1/caller';

/** Server side of one interactive transaction. */
type TransactionHandler = StepHandler<TransactionStep, TransactionReply>;

export default TransactionHandler;
