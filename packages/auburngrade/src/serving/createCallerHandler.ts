import { randomUUID } from 'node:crypto';
import {
  AccessMode,
  CallerHandler,
  type Outcome,
  type Statement,
  type TransactionHandler,
} from '@auburngrade/caller';
import {
  decodeSessionToken,
  toRefusal,
  type StatementOutcome,
  type StatementRequest,
  type TransactionRequest,
} from '@auburngrade/coordination';
import waitWhileKeyIsValid from '../authentication/waitWhileKeyIsValid';
import type Admission from '../admission/admission';
import type createAuthenticator from '../authentication/createAuthenticator';
import type Metrics from '../metrics/metrics';
import type Settings from '../settings/settings';
import answerByCutOff from '../shutdown/answerByCutOff';
import createCutOffRefusal from '../shutdown/createCutOffRefusal';
import type WorkTracker from '../shutdown/workTracker';
import createTransactionHandler from '../transactions/createTransactionHandler';
import type Transaction from '../transactions/transaction';
import checkRequest from './checkRequest';
import checkStatement from './checkStatement';
import toOutcome from './toOutcome';

interface CallerHandlerOptions {
  settings: Settings;
  authenticator: ReturnType<typeof createAuthenticator>;
  admission: Admission;
  execute(request: StatementRequest): Promise<StatementOutcome>;
  begin(request: TransactionRequest): Promise<Transaction>;
  /** Counts work until the returned function is called; throws a refusal while the VM shuts down. */
  beginWork(): () => void;
  /** Calls the listener when the VM, which shuts down, waits for work no longer. */
  onCutOff: WorkTracker['onCutOff'];
  /** Waits until this VM has loaded its configuration. @throws RefusalError `configurationMissing` */
  awaitConfiguration(deadlineAtMs: number): Promise<void>;
  /** Calls `recheck` whenever keys may have changed; returns a function that unsubscribes. */
  onKeysChanged(recheck: () => void): () => void;
  metrics: Metrics;
  nowMs(): number;
}

const MS_PER_S = 1_000;

class DaemonCallerHandler extends CallerHandler {
  constructor(private readonly options: CallerHandlerOptions) {
    super();
  }

  override async execute(statement: Statement, key: string | undefined): Promise<Outcome> {
    const startedAtMs = this.options.nowMs();
    const requestId = statement.requestId || randomUUID();
    const labels = {
      profile: 'unknown',
      account: 'none',
      mode: statement.accessMode === AccessMode.WRITE ? 'write' : 'read',
    };
    let endWork = (): void => {};
    try {
      endWork = this.options.beginWork();
      checkRequest(statement, this.options.settings);
      checkStatement(statement, this.options.settings);
      const sessionToken = decodeSessionToken(statement.sessionToken);
      const { onCutOff } = this.options;
      const refuseUnstarted = () => createCutOffRefusal('notRun');
      await answerByCutOff(
        this.options.awaitConfiguration(startedAtMs + statement.timeoutMs),
        onCutOff,
        refuseUnstarted,
      );
      const { profile, group } = statement;
      const caller = this.options.authenticator.authenticate(key, profile, group);
      labels.profile = statement.profile;
      labels.account = caller.account ?? 'none';
      const deadlineAtMs = startedAtMs + statement.timeoutMs;
      const admission = this.options.admission.admit(
        caller.account,
        statement.profile,
        deadlineAtMs,
      );
      const keyValidity = {
        check: () => this.options.authenticator.authenticate(key, profile, group),
        onKeysChanged: this.options.onKeysChanged,
      };
      await answerByCutOff(waitWhileKeyIsValid(admission, keyValidity), onCutOff, refuseUnstarted);
      const execution = this.options.execute({
        requestId,
        account: caller.account,
        keyHash: caller.keyHash,
        profile: statement.profile,
        group: statement.group,
        write: statement.accessMode === AccessMode.WRITE,
        sql: statement.sql,
        parameters: statement.parameters.map(({ text }) => text ?? null),
        sessionToken,
        deadlineAtMs,
      });
      const outcome = await answerByCutOff(execution, onCutOff, () =>
        createCutOffRefusal('mayHaveRun'),
      );
      this.options.metrics.requests.inc({ ...labels, verdict: 'ran', code: 'none' });
      const elapsedS = (this.options.nowMs() - startedAtMs) / MS_PER_S;
      this.options.metrics.latencyS.observe(labels, elapsedS);
      return toOutcome(requestId, statement.sessionToken, { kind: 'ran', outcome });
    } catch (error) {
      const refusal = toRefusal(error);
      const { verdict, code } = refusal;
      this.options.metrics.requests.inc({ ...labels, verdict, code });
      return toOutcome(requestId, statement.sessionToken, { kind: 'refused', refusal });
    } finally {
      endWork();
    }
  }

  override openTransaction(key: string | undefined): TransactionHandler {
    return createTransactionHandler(this.options, key);
  }
}

/** Creates the handler of callers' requests: validates, authenticates, admits, runs and replies. */
const createCallerHandler = (options: CallerHandlerOptions): CallerHandler =>
  new DaemonCallerHandler(options);

export default createCallerHandler;
