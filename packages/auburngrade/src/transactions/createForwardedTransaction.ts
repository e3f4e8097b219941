import {
  acceptStep,
  decodeSessionToken,
  toRefusal,
  type RefusalError,
  type StatementOutcome,
  type StepHandler,
  type StepKind,
  type TransactionProgress,
  type TransactionRequest,
} from '@auburngrade/coordination';
import type { ForwardedBegin, ForwardedReply, ForwardedStep } from '@auburngrade/vm';
import answerByCutOff from '../shutdown/answerByCutOff';
import type WorkTracker from '../shutdown/workTracker';
import createStepCutOffRefusal from './createStepCutOffRefusal';
import type Transaction from './transaction';

interface ForwardedTransactionOptions {
  begin(request: TransactionRequest): Promise<Transaction>;
  /** Counts work until the returned function is called; throws a refusal while the VM shuts down. */
  beginWork(): () => void;
  /** Calls the listener when the VM, which shuts down, waits for work no longer. */
  onCutOff: WorkTracker['onCutOff'];
  vm: string;
  nowMs(): number;
}

const toRequest = (begin: ForwardedBegin, nowMs: number): TransactionRequest => ({
  requestId: begin.requestId,
  account: begin.account || undefined,
  keyHash: begin.keyHash || undefined,
  profile: begin.profile,
  group: begin.group,
  write: begin.write,
  sessionToken: decodeSessionToken(begin.sessionToken),
  deadlineAtMs: nowMs + begin.timeoutMs,
});

/** Serves one transaction that another VM has admitted and forwards step by step. */
const createForwardedTransaction = ({
  begin,
  beginWork,
  onCutOff,
  vm,
  nowMs,
}: ForwardedTransactionOptions): StepHandler<ForwardedStep, ForwardedReply> => {
  let progress: TransactionProgress = { phase: 'new', lastStep: 0 };
  let transaction: Transaction | undefined;
  let isStreamLost = false;
  let endWork = (): void => {};

  const open = async (request: TransactionRequest): Promise<StatementOutcome> => {
    endWork = beginWork();
    transaction = await begin(request);
    if (isStreamLost) transaction.abort();
    const rows = { columns: [], rows: [], command: 'BEGIN', rowCount: 0 };
    const servedBy = { vm, endpoint: '', role: 'primary' as const };
    return { rows, sessionToken: request.sessionToken, servedBy };
  };

  const run = async ({ step, body }: ForwardedStep): Promise<StatementOutcome> => {
    progress = acceptStep(progress, step, body?.$case);
    if (body?.$case === 'begin') return open(toRequest(body.begin, nowMs()));
    if (!transaction) throw new Error('no transaction is open');
    if (body?.$case === 'commit') return transaction.commit();
    if (body?.$case === 'rollback') return transaction.rollback();
    const { sql, parameters } = body!.statement;
    const parameterTexts = parameters.map(({ text }) => text ?? null);
    return transaction.run(sql, parameterTexts);
  };

  const abort = (): void => {
    isStreamLost = true;
    transaction?.abort();
    endWork();
  };

  /** Rolls back: without an answer to its steps the transaction is of no use. */
  const refuseAtCutOff = (kind: StepKind | undefined): RefusalError => {
    abort();
    return createStepCutOffRefusal(kind);
  };

  return {
    step: async (step) => {
      try {
        const body = await answerByCutOff(run(step), onCutOff, () =>
          refuseAtCutOff(step.body?.$case),
        );
        return { step: step.step, outcome: { verdict: 'ran', bodyJson: JSON.stringify(body) } };
      } catch (error) {
        const refusal = toRefusal(error);
        if (!transaction) progress = { ...progress, phase: 'ended' };
        const bodyJson = JSON.stringify(refusal);
        return { step: step.step, outcome: { verdict: refusal.verdict, bodyJson } };
      } finally {
        if (progress.phase === 'ended') endWork();
      }
    },
    abort,
  };
};

export default createForwardedTransaction;
