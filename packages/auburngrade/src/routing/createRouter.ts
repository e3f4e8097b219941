import {
  RefusalError,
  createRetryBudget,
  decideRetry,
  encodeSessionToken,
  createMayHaveRunError,
  mergeRefusals,
  createNotRunError,
  orderHolders,
  refusalSchema,
  statementOutcomeSchema,
  toRefusal,
  type Refusal,
  type StatementOutcome,
  type StatementRequest,
  type TransactionRequest,
} from '@auburngrade/coordination';
import { isNotSentError, type ForwardedOutcome, type ForwardedStatement } from '@auburngrade/vm';
import type Membership from '../membership/membership';
import createRemoteTransaction from '../transactions/createRemoteTransaction';
import type Transaction from '../transactions/transaction';
import createRequestAttempts from './createRequestAttempts';
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
  /** Ids of VMs that announced their shutdown. */
  leaving(): ReadonlySet<string>;
  markLeaving(vm: string): void;
  executeLocally(request: StatementRequest): Promise<StatementOutcome>;
  beginLocally(request: TransactionRequest): Promise<Transaction>;
  /** Whether this VM ends running work, so that failed requests are not tried again. */
  isEnding(): boolean;
  metrics: RoutingMetrics;
  nowMs(): number;
}

const UNREACHABLE_VM_AVOIDANCE_MS = 1_000;
const RETRY_AFTER_MS = 500;
/** Refusal codes after which another VM that holds the group is tried first. */
const RETRY_ON_OTHER_VM_CODES: ReadonlySet<Refusal['code']> = new Set([
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
 * Routes requests to a VM that holds connections to their group, preferably this one. All
 * retries of failed requests are made here.
 */
const createRouter = (options: RouterOptions) => {
  const { vm, dataCentre, membership, peers, metrics, nowMs } = options;
  const unreachableVms = createRecentFailures(UNREACHABLE_VM_AVOIDANCE_MS, nowMs);
  const retryBudget = createRetryBudget();

  /** Ids of the VMs that hold a group, in the order in which they are tried. */
  const orderCandidates = (group: string, failedVms: ReadonlySet<string>): string[] =>
    orderHolders({
      holders: membership.holders(group),
      vm,
      dataCentre,
      leaving: options.leaving(),
      failed: new Set([...unreachableVms.names(), ...peers.silent(), ...failedVms]),
      random: Math.random(),
    });

  const toUnreachableRefusal = (target: string, error: Error): RefusalError => {
    unreachableVms.add(target);
    const refuse = isNotSentError(error) ? createNotRunError : createMayHaveRunError;
    return refuse('peerUnreachable', error.message);
  };

  const forward = async (
    request: StatementRequest,
    target: string,
    onSilent: () => void,
  ): Promise<StatementOutcome> => {
    const peer = peers.get(target);
    const statement = toForwarded(request, nowMs());
    const outcome = await peer.execute(statement, onSilent).catch((error: Error) => {
      throw toUnreachableRefusal(target, error);
    });
    return fromForwarded(outcome);
  };

  /** Tries the VMs that hold the group until one succeeds or the retry policy allows no more. */
  const withRetries = async <Result>(
    { group, deadlineAtMs }: Pick<StatementRequest, 'group' | 'deadlineAtMs'>,
    attempt: (target: string, onSilent: () => void) => Promise<Result>,
  ): Promise<Result> => {
    if (!options.hasGroup(group))
      throw createNotRunError('unknownGroup', `group ${group} does not exist`);
    const failedVms = new Set<string>();
    const attempts = createRequestAttempts<Result>();
    let refusal: Refusal | undefined;
    retryBudget.creditRequest();
    for (let attemptCount = 1; ; attemptCount += 1) {
      const candidates = orderCandidates(group, failedVms);
      const [target = ''] = candidates;
      try {
        if (target === '') {
          throw createNotRunError(
            'noConnection',
            `no VM holds connections to group ${group}`,
            RETRY_AFTER_MS,
          );
        }
        if (target !== vm) metrics.forwards.inc({ group });
        return await attempts.run(target, (onSilent) => attempt(target, onSilent));
      } catch (error) {
        const latestRefusal = toRefusal(error);
        refusal = mergeRefusals(refusal, latestRefusal);
        if (latestRefusal.code === 'shuttingDown') options.markLeaving(target);
        if (RETRY_ON_OTHER_VM_CODES.has(latestRefusal.code)) failedVms.add(target);
        if (failedVms.size >= candidates.length) failedVms.clear();
        const random = Math.random();
        const state = {
          refusal: latestRefusal,
          attempts: attemptCount,
          nowMs: nowMs(),
          deadlineAtMs,
          random,
        };
        const decision = decideRetry(state);
        if (decision.kind === 'giveUp' || options.isEnding() || !retryBudget.takeRetryToken()) {
          return attempts.waitForLateAnswer(deadlineAtMs - nowMs(), new RefusalError(refusal));
        }
        metrics.retries.inc({ group, code: latestRefusal.code });
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
              if (toRefusal(error).code === 'peerUnreachable') unreachableVms.add(target);
              throw error;
            }),
      ),
  };
};

export default createRouter;
