import { randomUUID } from 'node:crypto';
import {
  AccessMode,
  type TransactionBegin,
  type TransactionHandler,
  type TransactionReply,
  type TransactionStep,
} from '@auburngrade/caller';
import {
  checkStep,
  decodeSessionToken,
  notRun,
  toRefusal,
  type Refusal,
  type StatementOutcome,
  type TransactionProgress,
  type TransactionRequest,
} from '@auburngrade/coordination';
import type Admission from '../admission/admission';
import type Caller from '../authentication/caller';
import type createAuthenticator from '../authentication/createAuthenticator';
import whileKeyIsValid from '../authentication/whileKeyIsValid';
import checkRequest from '../serving/checkRequest';
import checkStatement from '../serving/checkStatement';
import toOutcome from '../serving/toOutcome';
import type Settings from '../settings/settings';
import type Transaction from './transaction';

interface TransactionHandlerOptions {
  settings: Settings;
  authenticator: ReturnType<typeof createAuthenticator>;
  admission: Admission;
  begin(request: TransactionRequest): Promise<Transaction>;
  /** Refuses new transactions while the VM shuts down; else the work counts until `leave`. */
  enter(): () => void;
  /** Waits until this VM has its configuration. @throws RefusalError `configurationMissing` */
  awaitConfiguration(deadlineAtMs: number): Promise<void>;
  /** Calls `recheck` whenever keys may have changed; returns the function that stops it. */
  onKeysChanged(recheck: () => void): () => void;
  nowMs(): number;
}

interface Opened {
  transaction: Transaction;
  request: TransactionRequest;
  /** Ends what belongs to the transaction on this VM. */
  close(): void;
}

type Body = NonNullable<TransactionStep['body']>;

const BEGUN = { columns: [], rows: [], command: 'BEGIN', rowCount: 0 };

/**
 * Serves one interactive transaction of a caller. The key is checked again at each step and
 * whenever keys change, so that a withdrawn key also ends a transaction that is idle.
 */
const createTransactionHandler = (
  options: TransactionHandlerOptions,
  key: string | undefined,
): TransactionHandler => {
  const { settings, authenticator, admission, nowMs } = options;
  let progress: TransactionProgress = { phase: 'new', lastStep: 0 };
  let opened: Opened | undefined;
  let revoked: Refusal | undefined;
  let requestId = '';
  let sessionToken = '';
  let hasStatement = false;
  let isLost = false;

  const end = (): void => {
    opened?.close();
    opened = undefined;
  };

  const abort = (): void => {
    opened?.transaction.abort();
    end();
  };

  const recheck = (profile: string, group: string): void => {
    try {
      authenticator.authenticate(key, profile, group);
    } catch (error) {
      revoked = toRefusal(error);
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

  const open = async (request: TransactionRequest, profile: string): Promise<Opened> => {
    const leave = options.enter();
    try {
      const transaction = await options.begin(request);
      const stopWatching = options.onKeysChanged(() => recheck(profile, request.group));
      const timer = setTimeout(abort, request.deadlineAtMs - nowMs());
      const close = (): void => {
        clearTimeout(timer);
        stopWatching();
        leave();
      };
      return { transaction, request, close };
    } catch (error) {
      leave();
      throw error;
    }
  };

  const begin = async (step: TransactionBegin): Promise<StatementOutcome> => {
    sessionToken = step.sessionToken;
    checkRequest(step, settings);
    await options.awaitConfiguration(nowMs() + step.timeoutMs);
    const caller = authenticator.authenticate(key, step.profile, step.group);
    const request = toRequest(step, caller);
    requestId = request.requestId;
    await whileKeyIsValid(admission.admit(caller.account, step.profile, request.deadlineAtMs), {
      check: () => authenticator.authenticate(key, step.profile, step.group),
      onKeysChanged: options.onKeysChanged,
    });
    opened = await open(request, step.profile);
    if (isLost) abort();
    const servedBy = { vm: settings.vm, endpoint: '', role: 'primary' as const };
    return { rows: BEGUN, sessionToken: request.sessionToken, servedBy };
  };

  const runStatement = async (
    { transaction, request }: Opened,
    statement: Extract<Body, { $case: 'statement' }>['statement'],
  ): Promise<StatementOutcome> => {
    checkStatement(statement, settings);
    // The first statement is covered by what was admitted at the begin.
    if (hasStatement) {
      await admission.admit(request.account, request.profile, request.deadlineAtMs);
    }
    hasStatement = true;
    const parameters = statement.parameters.map(({ text }) => text ?? null);
    return transaction.run(statement.sql, parameters);
  };

  const run = async ({ step, body }: TransactionStep): Promise<StatementOutcome> => {
    progress = checkStep(progress, step, body?.$case);
    if (body?.$case === 'begin') return begin(body.begin);
    if (opened) recheck(opened.request.profile, opened.request.group);
    if (revoked) throw notRun(revoked.code, revoked.message);
    if (!opened) throw notRun('transactionAborted', 'the transaction has been rolled back');
    if (body?.$case === 'statement') return runStatement(opened, body.statement);
    const { transaction } = opened;
    try {
      return await (body?.$case === 'commit' ? transaction.commit() : transaction.rollback());
    } finally {
      end();
    }
  };

  const reply = async (step: TransactionStep): Promise<TransactionReply> => {
    try {
      const outcome = await run(step);
      const answer = toOutcome(requestId, sessionToken, { kind: 'ran', outcome });
      return { step: step.step, outcome: answer };
    } catch (error) {
      const refusal = toRefusal(error);
      if (!opened) progress = { ...progress, phase: 'ended' };
      const outcome = toOutcome(requestId, sessionToken, { kind: 'refused', refusal });
      return { step: step.step, outcome };
    }
  };

  return {
    step: reply,
    abort: () => {
      isLost = true;
      abort();
    },
  };
};

export default createTransactionHandler;
