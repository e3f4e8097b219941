import type {
  ConfigurationState,
  StatementOutcome,
  StatementRequest,
  TransactionRequest,
} from '@auburngrade/coordination';
import type createAuthenticator from '../authentication/createAuthenticator';
import withKeyCheck from '../authentication/withKeyCheck';
import createReadExecutor from '../execution/createReadExecutor';
import createWriteExecutor from '../execution/createWriteExecutor';
import type createTermKeeper from '../groups/createTermKeeper';
import type GroupHolder from '../groups/groupHolder';
import type GroupRegistry from '../groups/groupRegistry';
import type Membership from '../membership/membership';
import type Metrics from '../metrics/metrics';
import createPrimaryWaiter from '../routing/createPrimaryWaiter';
import createRouter from '../routing/createRouter';
import createRoutingMetrics from '../routing/createRoutingMetrics';
import type PeerRegistry from '../routing/peerRegistry';
import type Settings from '../settings/settings';
import type createLeavingNotices from '../shutdown/createLeavingNotices';
import createLocalTransactions from '../transactions/createLocalTransactions';

interface StatementPathOptions {
  settings: Settings;
  configuration: ConfigurationState;
  groups: GroupRegistry;
  terms: ReturnType<typeof createTermKeeper>;
  membership: Membership;
  peers: PeerRegistry;
  notices: ReturnType<typeof createLeavingNotices>;
  recheckKey: ReturnType<typeof createAuthenticator>['recheck'];
  awaitConfiguration(deadlineAtMs: number): Promise<void>;
  metrics: Metrics;
  nowMs(): number;
}

/** The way of an admitted statement or transaction to an endpoint, here or through another VM. */
const createStatementPath = (options: StatementPathOptions) => {
  const { settings, configuration, groups, terms, notices, metrics, nowMs } = options;
  const reads = createReadExecutor({
    ...settings,
    ...settings.reads,
    configuration,
    held: groups.held,
    nowMs,
  });
  const primaries = createPrimaryWaiter(configuration, nowMs);
  const writes = createWriteExecutor(settings.vm, nowMs);

  const holderOf = async (request: TransactionRequest): Promise<GroupHolder> => {
    await options.awaitConfiguration(request.deadlineAtMs);
    const holder = groups.get(request.group);
    await terms.ensureRecord(holder);
    if (request.write) await primaries.wait(request.group, request.deadlineAtMs);
    return withKeyCheck(holder, () => options.recheckKey(request.keyHash));
  };
  const transactions = createLocalTransactions({ vm: settings.vm, holderOf, reads, nowMs });

  const executeLocally = async (request: StatementRequest): Promise<StatementOutcome> => {
    const holder = await holderOf(request);
    const outcome = await (request.write ? writes : reads).execute(holder, request);
    const { role } = outcome.servedBy;
    const mode = request.write ? 'write' : 'read';
    metrics.served.inc({ group: request.group, role, mode });
    return outcome;
  };

  const router = createRouter({
    ...settings,
    membership: options.membership,
    peers: options.peers,
    hasGroup: (name) => configuration.get('group', name) !== undefined,
    leaving: notices.leaving,
    markLeaving: notices.add,
    executeLocally,
    beginLocally: transactions.begin,
    metrics: createRoutingMetrics(metrics.registry),
    nowMs,
  });

  return {
    /** Runs a caller's statement on this VM or another. @throws RefusalError */
    execute: router.execute,
    /** Begins a caller's transaction on this VM or another. @throws RefusalError */
    begin: router.begin,
    executeLocally,
    beginLocally: transactions.begin,
    abortTransactions: transactions.abortAll,
    close: reads.close,
  };
};

export default createStatementPath;
