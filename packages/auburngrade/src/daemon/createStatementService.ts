import type {
  ConfigurationState,
  StatementOutcome,
  StatementRequest,
  TransactionRequest,
} from '@auburngrade/coordination';
import type createAuthenticator from '../authentication/createAuthenticator';
import addKeyCheck from '../authentication/addKeyCheck';
import createReadExecutor from '../execution/createReadExecutor';
import createWriteExecutor from '../execution/createWriteExecutor';
import type DataCentres from '../evacuation/dataCentres';
import type createTermRecordInitializer from '../groups/createTermRecordInitializer';
import type GroupClient from '../groups/groupClient';
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

interface StatementServiceOptions {
  settings: Settings;
  configuration: ConfigurationState;
  dataCentres: DataCentres;
  groups: GroupRegistry;
  terms: ReturnType<typeof createTermRecordInitializer>;
  membership: Membership;
  peers: PeerRegistry;
  leavingNotices: ReturnType<typeof createLeavingNotices>;
  recheckKey: ReturnType<typeof createAuthenticator>['recheckKey'];
  awaitConfiguration(deadlineAtMs: number): Promise<void>;
  metrics: Metrics;
  nowMs(): number;
}

/** Runs admitted statements and transactions on endpoints, from this VM or through another. */
const createStatementService = (options: StatementServiceOptions) => {
  const {
    settings,
    configuration,
    dataCentres,
    groups,
    terms: termRecordInitialiser,
    leavingNotices,
    metrics,
    nowMs,
  } = options;
  const primaryWaiter = createPrimaryWaiter({ configuration, dataCentres, nowMs });
  const readExecutor = createReadExecutor({
    ...settings,
    ...settings.reads,
    configuration,
    dataCentres,
    primaryWaiter,
    listGroupClients: groups.listClients,
    nowMs,
  });
  const writeExecutor = createWriteExecutor(settings.vm, nowMs);

  const getGroupClient = async (request: TransactionRequest): Promise<GroupClient> => {
    await options.awaitConfiguration(request.deadlineAtMs);
    const groupClient = groups.get(request.group);
    await termRecordInitialiser.ensureTermRecord(groupClient);
    if (request.write) await primaryWaiter.wait(groupClient, request.deadlineAtMs);
    return addKeyCheck(groupClient, () => options.recheckKey(request.keyHash));
  };
  const transactions = createLocalTransactions({
    vm: settings.vm,
    getGroupClient,
    reads: readExecutor,
    nowMs,
  });

  const executeLocally = async (request: StatementRequest): Promise<StatementOutcome> => {
    const groupClient = await getGroupClient(request);
    const outcome = await (request.write ? writeExecutor : readExecutor).execute(
      groupClient,
      request,
    );
    const { role } = outcome.servedBy;
    const mode = request.write ? 'write' : 'read';
    metrics.served.inc({ group: request.group, role, mode });
    return outcome;
  };

  // Transactions first, so that they end as rolled back and not by a lost connection.
  dataCentres.onChange(() => {
    transactions.abortInDataCentres(
      (dataCentre) => dataCentres.phaseOf(dataCentre) === 'evacuated',
    );
    groups.closeEvacuated();
  });

  let isEnding = false;

  const router = createRouter({
    ...settings,
    membership: options.membership,
    peers: options.peers,
    hasGroup: (name) => configuration.get('group', name) !== undefined,
    leaving: leavingNotices.leaving,
    markLeaving: leavingNotices.add,
    executeLocally,
    beginLocally: transactions.begin,
    isEnding: () => isEnding,
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
    /** Ends all running work at a planned stop: none is tried again, and connections are closed. */
    endWork: (): void => {
      isEnding = true;
      transactions.abortAll();
      groups.endAll();
    },
    close: readExecutor.close,
  };
};

export default createStatementService;
