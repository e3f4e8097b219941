import {
  RefusalError,
  encodeSessionToken,
  createMayHaveRunError,
  createNotRunError,
  refusalSchema,
  statementOutcomeSchema,
  type StatementOutcome,
  type TransactionRequest,
} from '@auburngrade/coordination';
import { isNotSentError, type ForwardedStep, type RemoteVm } from '@auburngrade/vm';
import Transaction from './transaction';

type RemoteStream = Awaited<ReturnType<RemoteVm['transact']>>;
type StepBody = NonNullable<ForwardedStep['body']>;

const toStreamLostRefusal = (error: Error): RefusalError =>
  createNotRunError(
    'transactionAborted',
    `the stream to the VM that runs the transaction was lost: ${error.message}`,
  );

class RemoteTransaction extends Transaction {
  constructor(private readonly stream: RemoteStream) {
    super();
  }

  /** A begin whose reply is lost has no effect: the other VM rolls back when the stream closes. */
  begin(request: TransactionRequest, timeoutMs: number): Promise<StatementOutcome> {
    const begin = {
      account: request.account ?? '',
      keyHash: request.keyHash ?? '',
      profile: request.profile,
      group: request.group,
      write: request.write,
      sessionToken: encodeSessionToken(request.sessionToken),
      requestId: request.requestId,
      timeoutMs,
    };
    const refuse = (error: Error): RefusalError =>
      createNotRunError('peerUnreachable', error.message);
    return this.step({ $case: 'begin', begin }, refuse, () => this.stream.cancel());
  }

  override run(sql: string, parameters: (string | null)[]): Promise<StatementOutcome> {
    const wireParameters = parameters.map((text) => ({ text: text ?? undefined }));
    const statement = { sql, parameters: wireParameters };
    return this.step({ $case: 'statement', statement }, toStreamLostRefusal);
  }

  override async commit(): Promise<StatementOutcome> {
    const wasStreamOpen = !this.stream.isLost();
    const outcome = await this.step({ $case: 'commit', commit: {} }, (error) =>
      !wasStreamOpen || isNotSentError(error)
        ? toStreamLostRefusal(error)
        : createMayHaveRunError('outcomeUnknown', error.message),
    );
    this.stream.end();
    return outcome;
  }

  override async rollback(): Promise<StatementOutcome> {
    const outcome = await this.step({ $case: 'rollback', rollback: {} }, toStreamLostRefusal);
    this.stream.end();
    return outcome;
  }

  override abort(): void {
    this.stream.cancel();
  }

  private async step(
    body: StepBody,
    refuse: (error: Error) => RefusalError,
    onSilent?: () => void,
  ): Promise<StatementOutcome> {
    const { outcome } = await this.stream.step(body, onSilent).catch((error: Error) => {
      this.stream.cancel();
      throw refuse(error);
    });
    const reply: unknown = JSON.parse(outcome?.bodyJson ?? '{}');
    if (outcome?.verdict === 'ran') return statementOutcomeSchema.parse(reply);
    throw new RefusalError(refusalSchema.parse(reply));
  }
}

/** Begins a transaction on another VM, over a stream of its own. @throws RefusalError */
const createRemoteTransaction = async (
  client: RemoteVm,
  request: TransactionRequest,
  nowMs: number,
): Promise<Transaction> => {
  const timeoutMs = Math.max(1, Math.floor(request.deadlineAtMs - nowMs));
  const stream = await client.transact(timeoutMs).catch((error: Error) => {
    throw createNotRunError('peerUnreachable', error.message);
  });
  const transaction = new RemoteTransaction(stream);
  await transaction.begin(request, timeoutMs);
  return transaction;
};

export default createRemoteTransaction;
