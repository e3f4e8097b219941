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
  notRun,
  toRefusal,
  type StatementOutcome,
  type StatementRequest,
} from '@auburngrade/coordination';
import type Admission from '../admission/admission';
import type createAuthenticator from '../authentication/createAuthenticator';
import type Metrics from '../metrics/metrics';
import type Settings from '../settings/settings';
import toOutcome from './toOutcome';

interface CallerHandlerOptions {
  settings: Settings;
  authenticator: ReturnType<typeof createAuthenticator>;
  admission: Admission;
  execute(request: StatementRequest): Promise<StatementOutcome>;
  metrics: Metrics;
  nowMs(): number;
}

const REQUEST_ID = /^[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}$/;
const MS_PER_S = 1_000;

const checkStatement = (statement: Statement, settings: Settings): void => {
  const { maxStatementBytes, maxTimeoutMs } = settings.requests;
  if (statement.accessMode !== AccessMode.READ && statement.accessMode !== AccessMode.WRITE) {
    throw notRun('badRequest', 'access_mode must be READ or WRITE');
  }
  if (statement.timeoutMs < 1 || statement.timeoutMs > maxTimeoutMs) {
    throw notRun('badDeadline', `timeout_ms must lie between 1 and ${maxTimeoutMs}`);
  }
  if (statement.requestId !== '' && !REQUEST_ID.test(statement.requestId)) {
    throw notRun('badRequest', 'request_id must be a lower-case UUID');
  }
  if (statement.sql.trim() === '') throw notRun('badRequest', 'sql is empty');
  if (Buffer.byteLength(statement.sql) > maxStatementBytes) {
    throw notRun('statementTooLarge', `sql is longer than ${maxStatementBytes} bytes`);
  }
};

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
    try {
      checkStatement(statement, this.options.settings);
      const sessionToken = decodeSessionToken(statement.sessionToken);
      const caller = this.options.authenticator.authenticate(key, statement.profile);
      labels.profile = statement.profile;
      labels.account = caller.account ?? 'none';
      await this.options.admission.admit(caller.account, statement.profile);
      const outcome = await this.options.execute({
        requestId,
        account: caller.account,
        profile: statement.profile,
        group: statement.group,
        write: statement.accessMode === AccessMode.WRITE,
        sql: statement.sql,
        parameters: statement.parameters.map(({ text }) => text ?? null),
        sessionToken,
        deadlineAtMs: startedAtMs + statement.timeoutMs,
      });
      this.options.metrics.requests.inc({ ...labels, verdict: 'ran', code: 'none' });
      const elapsedS = (this.options.nowMs() - startedAtMs) / MS_PER_S;
      this.options.metrics.latencyS.observe(labels, elapsedS);
      return toOutcome(requestId, statement.sessionToken, { kind: 'ran', outcome });
    } catch (error) {
      const refusal = toRefusal(error);
      const { verdict, code } = refusal;
      this.options.metrics.requests.inc({ ...labels, verdict, code });
      return toOutcome(requestId, statement.sessionToken, { kind: 'refused', refusal });
    }
  }

  override openTransaction(): TransactionHandler {
    const refusal = toRefusal(notRun('badRequest', 'transactions are not served yet'));
    return {
      step: async ({ step }) => ({
        step,
        outcome: toOutcome('', '', { kind: 'refused', refusal }),
      }),
      abort: () => {},
    };
  }
}

/** Creates what the VM does for its callers: check, authenticate, admit, run, answer. */
const createCallerHandler = (options: CallerHandlerOptions): CallerHandler =>
  new DaemonCallerHandler(options);

export default createCallerHandler;
