import {
  RefusalError,
  createRetryBudget,
  decideRetry,
  encodeSessionToken,
  mayHaveRun,
  mergeRefusals,
  notRun,
  orderHolders,
  refusalSchema,
  statementOutcomeSchema,
  toRefusal,
  type Refusal,
  type StatementOutcome,
  type StatementRequest,
  type TransactionRequest,
} from '@auburngrade/coordination';
import { isNeverSent, type ForwardedOutcome, type ForwardedStatement } from '@auburngrade/vm';
import type Membership from '../membership/membership';
import createRemoteTransaction from '../transactions/createRemoteTransaction';
import type Transaction from '../transactions/transaction';
import createAttempts from './createAttempts';
import createRecentFailures from './createRecentFailures';
import type PeerRegistry from './peerRegistry';
import type RoutingMetrics from './routingMetrics';
import sleep from '../time/sleep';

interface RouterOptions {
  vm: string;
  dataCentre: string;
  membership: Membership;
  peers: PeerRegistry;
  hasGroup(group: string): boolean;
  /** VMs that said they are shutting down. */
  leaving(): ReadonlySet<string>;
  markLeaving(vm: string): void;
  executeLocally(request: StatementRequest): Promise<StatementOutcome>;
  beginLocally(request: TransactionRequest): Promise<Transaction>;
  metrics: RoutingMetrics;
  nowMs(): number;
}

const AVOID_MS = 1_000;
const RETRY_AFTER_MS = 500;
/** Refusals after which another holder may do better. */
const ELSEWHERE_CODES: ReadonlySet<Refusal['code']> = new Set([
  'noConnection',
  'connectionLost',
  'peerUnreachable',
  'shuttingDown',
  'noFreshEndpoint',
]);

const toForwarded = (request: StatementRequest, nowMs: number): ForwardedStatement => ({
  account: request.account ?? '',
  keyHash: request.keyHash ?? '',
  profile: request.profile,
  group: request.group,
  write: request.write,
  sql: request.sql,
  parameters: request.parameters.map((text) => ({ text: text ?? undefined })),
  sessionToken: encodeSessionToken(request.sessionToken),
  requestId: request.requestId,
  timeoutMs: Math.max(1, Math.floor(request.deadlineAtMs - nowMs)),
});

const fromForwarded = (outcome: ForwardedOutcome): StatementOutcome => {
  const body: unknown = JSON.parse(outcome.bodyJson);
  if (outcome.verdict === 'ran') return statementOutcomeSchema.parse(body);
  throw new RefusalError(refusalSchema.parse(body));
};

/**
 * Sends a statement to a VM that holds connections to its group: this one if it can. It is the
 * one place that repeats a failed request.
 */
const createRouter = (options: RouterOptions) => {
  const { vm, dataCentre, membership, peers, metrics, nowMs } = options;
  const unreachable = createRecentFailures(AVOID_MS, nowMs);
  const budget = createRetryBudget();

  /** The holders of a group in the order in which they are tried. */
  const candidates = (group: string, failed: ReadonlySet<string>): string[] =>
    orderHolders({
      holders: membership.holders(group),
      vm,
      dataCentre,
      leaving: options.leaving(),
      failed: new Set([...unreachable.names(), ...peers.silent(), ...failed]),
      random: Math.random(),
    });

  const refuseUnreachable = (target: string, error: Error): RefusalError => {
    unreachable.add(target);
    const refuse = isNeverSent(error) ? notRun : mayHaveRun;
    return refuse('peerUnreachable', error.message);
  };

  const forward = async (
    request: StatementRequest,
    target: string,
    onSilent: () => void,
  ): Promise<StatementOutcome> => {
    const client = peers.get(target);
    const statement = toForwarded(request, nowMs());
    const outcome = await client.execute(statement, onSilent).catch((error: Error) => {
      throw refuseUnreachable(target, error);
    });
    return fromForwarded(outcome);
  };

  /** Makes attempts at the holders of the request's group until one succeeds or no more may be made. */
  const withRetries = async <Result>(
    { group, deadlineAtMs }: Pick<StatementRequest, 'group' | 'deadlineAtMs'>,
    attempt: (target: string, onSilent: () => void) => Promise<Result>,
  ): Promise<Result> => {
    if (!options.hasGroup(group)) throw notRun('unknownGroup', `no group ${group}`);
    const failed = new Set<string>();
    const attempts = createAttempts<Result>();
    let refusal: Refusal | undefined;
    budget.deposit();
    for (let count = 1; ; count += 1) {
      const holders = candidates(group, failed);
      const [target = ''] = holders;
      try {
        if (target === '') {
          throw notRun('noConnection', `no VM holds connections to ${group}`, RETRY_AFTER_MS);
        }
        if (target !== vm) metrics.forwards.inc({ group });
        return await attempts.make(target, (onSilent) => attempt(target, onSilent));
      } catch (error) {
        const latest = toRefusal(error);
        refusal = mergeRefusals(refusal, latest);
        if (latest.code === 'shuttingDown') options.markLeaving(target);
        if (ELSEWHERE_CODES.has(latest.code)) failed.add(target);
        if (failed.size >= holders.length) failed.clear();
        const random = Math.random();
        const state = { refusal: latest, attempts: count, nowMs: nowMs(), deadlineAtMs, random };
        const decision = decideRetry(state);
        if (decision.kind === 'giveUp' || !budget.withdraw()) {
          return attempts.lateAnswer(deadlineAtMs - nowMs(), new RefusalError(refusal));
        }
        metrics.retries.inc({ group, code: latest.code });
        await sleep(decision.delayMs);
      }
    }
  };

  return {
    /** @throws RefusalError */
    execute: (request: StatementRequest): Promise<StatementOutcome> =>
      withRetries(request, (target, onSilent) =>
        target === vm ? options.executeLocally(request) : forward(request, target, onSilent),
      ),
    /** Begins a transaction on this VM or another. @throws RefusalError */
    begin: (request: TransactionRequest): Promise<Transaction> =>
      withRetries(request, (target) =>
        target === vm
          ? options.beginLocally(request)
          : createRemoteTransaction(peers.get(target), request, nowMs()).catch((error) => {
              if (toRefusal(error).code === 'peerUnreachable') unreachable.add(target);
              throw error;
            }),
      ),
  };
};

export default createRouter;
