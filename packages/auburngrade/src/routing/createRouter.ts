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
} from '@auburngrade/coordination';
import { isNeverSent, type ForwardedOutcome, type ForwardedStatement } from '@auburngrade/vm';
import type Membership from '../membership/membership';
import createRecentFailures from './createRecentFailures';
import type PeerRegistry from './peerRegistry';
import type RoutingMetrics from './routingMetrics';
import sleep from './sleep';

interface RouterOptions {
  vm: string;
  dataCentre: string;
  membership: Membership;
  peers: PeerRegistry;
  /** VMs that said they are shutting down. */
  leaving(): ReadonlySet<string>;
  executeLocally(request: StatementRequest): Promise<StatementOutcome>;
  metrics: RoutingMetrics;
  nowMs(): number;
}

const AVOID_MS = 1_000;
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
      failed: new Set([...unreachable.names(), ...failed]),
      random: Math.random(),
    });

  const forward = async (request: StatementRequest, target: string): Promise<StatementOutcome> => {
    const client = peers.get(target);
    const outcome = await client.execute(toForwarded(request, nowMs())).catch((error: Error) => {
      unreachable.add(target);
      const refuse = isNeverSent(error) ? notRun : mayHaveRun;
      throw refuse('peerUnreachable', error.message);
    });
    return fromForwarded(outcome);
  };

  const attempt = async (request: StatementRequest, target: string): Promise<StatementOutcome> => {
    if (target === vm) return options.executeLocally(request);
    metrics.forwards.inc({ group: request.group });
    return forward(request, target);
  };

  return {
    candidates,
    /** Marks a VM that could not be reached, so that others are tried first for a while. */
    markUnreachable: unreachable.add,
    /** @throws RefusalError */
    execute: async (request: StatementRequest): Promise<StatementOutcome> => {
      const failed = new Set<string>();
      let refusal: Refusal | undefined;
      budget.deposit();
      for (let attempts = 1; ; attempts += 1) {
        const holders = candidates(request.group, failed);
        const [target] = holders;
        if (target === undefined) {
          throw notRun('noConnection', `no VM holds connections to ${request.group}`);
        }
        try {
          return await attempt(request, target);
        } catch (error) {
          const latest = toRefusal(error);
          refusal = mergeRefusals(refusal, latest);
          if (ELSEWHERE_CODES.has(latest.code)) failed.add(target);
          if (failed.size >= holders.length) failed.clear();
          const decision = decideRetry({
            refusal: latest,
            attempts,
            nowMs: nowMs(),
            deadlineAtMs: request.deadlineAtMs,
            random: Math.random(),
          });
          if (decision.kind === 'giveUp' || !budget.withdraw()) throw new RefusalError(refusal);
          metrics.retries.inc({ group: request.group, code: latest.code });
          await sleep(decision.delayMs);
        }
      }
    },
  };
};

export default createRouter;
