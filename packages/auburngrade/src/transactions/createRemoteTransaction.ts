import {
  RefusalError,
  encodeSessionToken,
  mayHaveRun,
  notRun,
  refusalSchema,
  statementOutcomeSchema,
  type StatementOutcome,
  type TransactionRequest,
} from '@auburngrade/coordination';
import { isNeverSent, type ForwardedStep, type RemoteVm } from '@auburngrade/vm';
import Transaction from './transaction';

type RemoteStream = Awaited<ReturnType<RemoteVm['transact']>>;
type StepBody = NonNullable<ForwardedStep['body']>;

const lostBeforeCommit = (error: Error): RefusalError =>
  notRun('transactionAborted', `the stream to the holder was lost: ${error.message}`);

class RemoteTransaction extends Transaction {
  constructor(private readonly stream: RemoteStream) {
    super();
  }

  /** A lost begin has no effect: without its stream the other VM rolls back. */
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
    const refuse = (error: Error): RefusalError => notRun('peerUnreachable', error.message);
    return this.step({ $case: 'begin', begin }, refuse, () => this.stream.cancel());
  }

  override run(sql: string, parameters: (string | null)[]): Promise<StatementOutcome> {
    const texts = parameters.map((text) => ({ text: text ?? undefined }));
    const statement = { sql, parameters: texts };
    return this.step({ $case: 'statement', statement }, lostBeforeCommit);
  }

  override async commit(): Promise<StatementOutcome> {
    const isSent = !this.stream.isLost();
    const outcome = await this.step({ $case: 'commit', commit: {} }, (error) =>
      !isSent || isNeverSent(error)
        ? lostBeforeCommit(error)
        : mayHaveRun('outcomeUnknown', error.message),
    );
    this.stream.end();
    return outcome;
  }

  override async rollback(): Promise<StatementOutcome> {
    const outcome = await this.step({ $case: 'rollback', rollback: {} }, lostBeforeCommit);
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

/** Begins a transaction on another VM. @throws RefusalError */
const createRemoteTransaction = async (
  client: RemoteVm,
  request: TransactionRequest,
  nowMs: number,
): Promise<Transaction> => {
  const timeoutMs = Math.max(1, Math.floor(request.deadlineAtMs - nowMs));
  const stream = await client.transact(timeoutMs).catch((error: Error) => {
    throw notRun('peerUnreachable', error.message);
  });
  const transaction = new RemoteTransaction(stream);
  await transaction.begin(request, timeoutMs);
  return transaction;
};

export default createRemoteTransaction;
