import { randomUUID } from 'node:crypto';
import {
  AccessMode,
  type TransactionBegin,
  type TransactionHandler,
  type TransactionReply,
  type TransactionStep,
} from '@auburngrade/caller';
import {
  acceptStep,
  decodeSessionToken,
  createNotRunError,
  toRefusal,
  type Refusal,
  type RefusalError,
  type StatementOutcome,
  type StepKind,
  type TransactionProgress,
  type TransactionRequest,
} from '@auburngrade/coordination';
import type Admission from '../admission/admission';
import type Caller from '../authentication/caller';
import type createAuthenticator from '../authentication/createAuthenticator';
import waitWhileKeyIsValid from '../authentication/waitWhileKeyIsValid';
import checkRequest from '../serving/checkRequest';
import checkStatement from '../serving/checkStatement';
import toOutcome from '../serving/toOutcome';
import type Settings from '../settings/settings';
import answerByCutOff from '../shutdown/answerByCutOff';
import type WorkTracker from '../shutdown/workTracker';
import createStepCutOffRefusal from './createStepCutOffRefusal';
import type Transaction from './transaction';

interface TransactionHandlerOptions {
  settings: Settings;
  authenticator: ReturnType<typeof createAuthenticator>;
  admission: Admission;
  begin(request: TransactionRequest): Promise<Transaction>;
  /** Counts work until the returned function is called; throws a refusal while the VM shuts down. */
  beginWork(): () => void;
  /** Calls the listener when the VM, which shuts down, waits for work no longer. */
  onCutOff: WorkTracker['onCutOff'];
  /** Waits until this VM has loaded its configuration. @throws RefusalError `configurationMissing` */
  awaitConfiguration(deadlineAtMs: number): Promise<void>;
  /** Calls `recheck` whenever keys may have changed; returns a function that unsubscribes. */
  onKeysChanged(recheck: () => void): () => void;
  nowMs(): number;
}

interface OpenTransaction {
  transaction: Transaction;
  request: TransactionRequest;
  /** Stops the transaction's timer and key checks and ends its counted work. */
  close(): void;
}

type Body = NonNullable<TransactionStep['body']>;

const BEGIN_RESULT = { columns: [], rows: [], command: 'BEGIN', rowCount: 0 };

/**
 * Serves one interactive transaction of a caller. The key is rechecked at each step and
 * whenever keys change, so that withdrawing a key also ends an idle transaction.
 */
const createTransactionHandler = (
  options: TransactionHandlerOptions,
  key: string | undefined,
): TransactionHandler => {
  const { settings, authenticator, admission, nowMs } = options;
  let progress: TransactionProgress = { phase: 'new', lastStep: 0 };
  let openTransaction: OpenTransaction | undefined;
  let keyRefusal: Refusal | undefined;
  let requestId = '';
  let sessionToken = '';
  let hasRunStatement = false;
  let isAbandoned = false;

  const closeTransaction = (): void => {
    openTransaction?.close();
    openTransaction = undefined;
  };

  const abort = (): void => {
    openTransaction?.transaction.abort();
    closeTransaction();
  };

  const recheck = (profile: string, group: string): void => {
    try {
      authenticator.authenticate(key, profile, group);
    } catch (error) {
      keyRefusal = toRefusal(error);
      abort();
    }
  };

  const toRequest = (
    begin: TransactionBegin,
    { account, keyHash }: Caller,
  ): TransactionRequest => ({
    requestId: begin.requestId || randomUUID(),
    account,
    keyHash,
    profile: begin.profile,
    group: begin.group,
    write: begin.accessMode === AccessMode.WRITE,
    sessionToken: decodeSessionToken(begin.sessionToken),
    deadlineAtMs: nowMs() + begin.timeoutMs,
  });

  const open = async (
    request: TransactionRequest,
    profile: string,
    endWork: () => void,
  ): Promise<OpenTransaction> => {
    const transaction = await options.begin(request);
    const stopKeyRechecks = options.onKeysChanged(() => recheck(profile, request.group));
    const timer = setTimeout(abort, request.deadlineAtMs - nowMs());
    // Also while idle: a commit that came later would be passed on with nobody to answer it.
    const stopCutOff = options.onCutOff(abort);
    const close = (): void => {
      clearTimeout(timer);
      stopCutOff();
      stopKeyRechecks();
      endWork();
    };
    return { transaction, request, close };
  };

  const admitAndOpen = async (
    step: TransactionBegin,
    endWork: () => void,
  ): Promise<StatementOutcome> => {
    checkRequest(step, settings);
    await options.awaitConfiguration(nowMs() + step.timeoutMs);
    const caller = authenticator.authenticate(key, step.profile, step.group);
    const request = toRequest(step, caller);
    requestId = request.requestId;
    await waitWhileKeyIsValid(admission.admit(caller.account, step.profile, request.deadlineAtMs), {
      check: () => authenticator.authenticate(key, step.profile, step.group),
      onKeysChanged: options.onKeysChanged,
    });
    openTransaction = await open(request, step.profile, endWork);
    if (isAbandoned) abort();
    const servedBy = { vm: settings.vm, endpoint: '', role: 'primary' as const };
    return { rows: BEGIN_RESULT, sessionToken: request.sessionToken, servedBy };
  };

  /** Counted as work from its arrival, since it may wait long before the transaction is open. */
  const begin = async (step: TransactionBegin): Promise<StatementOutcome> => {
    sessionToken = step.sessionToken;
    const endWork = options.beginWork();
    try {
      return await admitAndOpen(step, endWork);
    } catch (error) {
      endWork();
      throw error;
    }
  };

  const runStatement = async (
    { transaction, request }: OpenTransaction,
    statement: Extract<Body, { $case: 'statement' }>['statement'],
  ): Promise<StatementOutcome> => {
    checkStatement(statement, settings);
    // The begin was admitted already and covers the first statement.
    if (hasRunStatement) {
      await admission.admit(request.account, request.profile, request.deadlineAtMs);
    }
    hasRunStatement = true;
    const parameters = statement.parameters.map(({ text }) => text ?? null);
    return transaction.run(statement.sql, parameters);
  };

  const run = async ({ step, body }: TransactionStep): Promise<StatementOutcome> => {
    progress = acceptStep(progress, step, body?.$case);
    if (body?.$case === 'begin') return begin(body.begin);
    if (openTransaction) recheck(openTransaction.request.profile, openTransaction.request.group);
    if (keyRefusal) throw createNotRunError(keyRefusal.code, keyRefusal.message);
    if (!openTransaction)
      throw createNotRunError('transactionAborted', 'the transaction has been rolled back');
    if (body?.$case === 'statement') return runStatement(openTransaction, body.statement);
    const { transaction } = openTransaction;
    try {
      return await (body?.$case === 'commit' ? transaction.commit() : transaction.rollback());
    } finally {
      closeTransaction();
    }
  };

  /** Rolls back: a begin that is still waiting is aborted once it is open. */
  const refuseAtCutOff = (kind: StepKind | undefined): RefusalError => {
    isAbandoned = true;
    abort();
    return createStepCutOffRefusal(kind);
  };

  const handleStep = async (step: TransactionStep): Promise<TransactionReply> => {
    try {
      const outcome = await answerByCutOff(run(step), options.onCutOff, () =>
        refuseAtCutOff(step.body?.$case),
      );
      const answer = toOutcome(requestId, sessionToken, { kind: 'ran', outcome });
      return { step: step.step, outcome: answer };
    } catch (error) {
      const refusal = toRefusal(error);
      if (!openTransaction) progress = { ...progress, phase: 'ended' };
      const outcome = toOutcome(requestId, sessionToken, { kind: 'refused', refusal });
      return { step: step.step, outcome };
    }
  };

  return {
    step: handleStep,
    abort: () => {
      isAbandoned = true;
      abort();
    },
  };
};

export default createTransactionHandler;
