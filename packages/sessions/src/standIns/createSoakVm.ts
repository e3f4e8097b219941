import createDocuments from '../fleet/createDocuments';
import createEvacuations from '../fleet/createEvacuations';
import createFleet from '../fleet/createFleet';
import createOwnership from '../fleet/createOwnership';
import createStoreWatcher from '../fleet/createStoreWatcher';
import createVoterChanges from '../fleet/createVoterChanges';
import parseRegistration from '../fleet/parseRegistration';
import readDocumentOrigin from '../fleet/readDocumentOrigin';
import storeKeys from '../fleet/storeKeys';
import type { GroupCall, Heartbeat, Hello } from '../generated/auburngrade/session/v1/session';
import type CallOutcome from '../group/callOutcome';
import createGroupServer from '../group/createGroupServer';
import createRateLimiter from '../limits/createRateLimiter';
import type EventLog from '../seams/eventLog';
import type GroupEndpoint from '../seams/groupEndpoint';
import type createSoakWorld from './createSoakWorld';

type GroupServer = ReturnType<typeof createGroupServer>;

const HEARTBEAT_INTERVAL_MS = 250;
const RECORD_REFRESH_INTERVAL_MS = 400;
const ENDPOINT_POLL_INTERVAL_MS = 1_500;
const CONFIGURATION_WATCH_TIMEOUT_MS = 1_500;
const FLEET_WATCH_TIMEOUT_MS = 10_000;
const REGISTRATION_INTERVAL_MS = 1_300;
const MAX_CONNECTIONS = 30;
const LEAVE_LIMIT_MS = 6_000;
const UNKNOWN_RECORD = { primary: '', term: 0, fence: 0 };
const NO_VALUES: ReadonlyMap<string, string> = new Map();

interface SoakVmOptions {
  world: ReturnType<typeof createSoakWorld>;
  self: Hello;
  process: ReturnType<ReturnType<typeof createSoakWorld>['time']['startProcess']>;
  log: EventLog;
  /** The endpoints as the store lists them now. */
  listEndpoints(): GroupEndpoint[];
}

/** The parts of a VM that decide about owners and primaries, driven as `createSessionDaemon` drives them. */
const createSoakVm = ({ world, self, process, log, listEndpoints }: SoakVmOptions) => {
  const { vm, incarnation } = self;
  const nowMs = (): number => world.time.steadyMs(process);
  const wallMs = world.time.nowMs;
  const store = world.createStore(vm, process);
  const dialer = world.createDialer(vm, process);
  const failover = world.createFailover(vm, process);
  const documents = createDocuments({ nowMs, log, readOrigin: readDocumentOrigin });
  const limiter = createRateLimiter(nowMs);
  const groups = [...world.members.keys()];
  const servers = new Map<string, GroupServer>();
  const retiredServers = new Set<GroupServer>();
  const streams = new Map<string, { isOpen(): boolean; send(heartbeat: Heartbeat): void }>();
  let endpoints = listEndpoints();
  let refreshedAtMs = Number.NEGATIVE_INFINITY;
  let endpointsReadAtMs = Number.NEGATIVE_INFINITY;
  let isRefreshing = false;
  const hooks = { reconcile: (): void => undefined, isStoreViewCurrent: (): boolean => false };
  const evacuations = createEvacuations({
    documents,
    prefix: world.evacuations.prefix,
    boundMs: world.evacuations.boundMs,
    log,
    nowMs,
  });
  const { isReachable: isStoreReachable } = createStoreWatcher({
    store,
    prefix: world.evacuations.operatorPrefix,
    waitMs: () => CONFIGURATION_WATCH_TIMEOUT_MS,
    log,
    onList: evacuations.takeList,
    onEvents: (events, { era }) => evacuations.takeEvents(events, era),
  });
  const findPrimaryDataCentre = (group: string): string | undefined =>
    endpoints.find((endpoint) => endpoint.group === group && endpoint.isRegisteredAsPrimary)
      ?.dataCentre;

  const fleet = createFleet({
    self,
    documents,
    log,
    nowMs,
    wallMs,
    isStoreReachable,
    isEvacuated: (name) => !evacuations.isInService(name),
    onRateUsage: () => undefined,
    onChange: () => hooks.reconcile(),
    createLink: world.createLinkOpener(process),
  });
  const ownership = createOwnership({
    self,
    store,
    documents,
    fleet,
    log,
    nowMs,
    wallMs,
    primaryPhase: (group) => {
      const dataCentre = findPrimaryDataCentre(group);
      return dataCentre === undefined ? 'inService' : evacuations.phaseOf(dataCentre);
    },
    isReplacingPrimary: (group) => servers.get(group)?.isReplacingPrimary() ?? false,
    isStoreViewCurrent: () => hooks.isStoreViewCurrent(),
    primaryDataCentre: findPrimaryDataCentre,
  });

  const voterChanges = createVoterChanges({
    self,
    store,
    documents,
    fleet,
    log,
    nowMs,
    isStoreViewCurrent: () => hooks.isStoreViewCurrent(),
  });

  const updateGroup = (group: string, server: GroupServer): void =>
    server.updateEndpoints(
      endpoints.filter((endpoint) => endpoint.group === group),
      MAX_CONNECTIONS,
    );
  const openGroup = (group: string): void => {
    const server = createGroupServer({
      group,
      ownerVm: vm,
      dialer,
      failover,
      limiter,
      log,
      nowMs,
      random: Math.random,
      controlAccount: () => 'control',
      storeEra: () => store.era(),
      getRecordedPrimary: () => {
        const { primary, term, fence } = ownership.getRecord(group) ?? UNKNOWN_RECORD;
        return { primary, term, fence };
      },
      record: (next) => ownership.recordPrimary(group, next),
      syncReplicas: () => 0,
      evacuationPhaseOf: evacuations.phaseOf,
      canReplacePrimary: () => ownership.mayReplacePrimary(group),
      findTenure: () => ownership.findTenure(group),
      isAuthoritative: () => ownership.isAuthoritative(group),
      isInHandoverGrace: (tenure) => ownership.isInHandoverGrace(group, tenure),
    });
    servers.set(group, server);
    updateGroup(group, server);
  };
  const closeGroup = (group: string, server: GroupServer): void => {
    servers.delete(group);
    if (ownership.getRecord(group)?.isHandedOver !== true) {
      server.close();
      return;
    }
    server.startDraining();
    retiredServers.add(server);
  };
  const reconcile = (): void => {
    ownership.reconcile(groups);
    groups.forEach((group) => {
      if (ownership.isServedHere(group) && !servers.has(group)) openGroup(group);
    });
    servers.forEach((server, group) => {
      if (!ownership.isServedHere(group)) closeGroup(group, server);
    });
    retiredServers.forEach((server) => {
      if (server.countOpenTransactions() + server.countInFlight() > 0) return;
      retiredServers.delete(server);
      server.close();
    });
    fleet.removeStalePeers();
    voterChanges.update();
  };
  hooks.reconcile = reconcile;
  evacuations.onChange(() =>
    [...servers.values(), ...retiredServers].forEach((server) => server.noteEvacuationsChanged()),
  );

  const buildHeartbeat = (receiver: string, beat: number): Heartbeat => ({
    vm,
    incarnation,
    heard: { vms: fleet.heardVms() },
    confirmedBeat: fleet.confirmedBeat(receiver),
    documents: documents
      .all()
      .map(({ key, version, era, revision }) => ({ key, version, era, revision })),
    beat,
    isSettled: fleet.isSettled(),
    acting: ownership.acting(),
    isStoreReachable: isStoreReachable(),
    isStrained: fleet.isStrained(),
    spending: [],
    isLeaving: fleet.isLeaving(),
    serving: [...servers.keys()]
      .filter(ownership.isAuthoritativeBeyondPeerLease)
      .filter((group) => !ownership.isLeftToOthers(group)),
  });
  const sendHeartbeats = (): void => {
    const beat = fleet.nextHeartbeatNumber();
    streams.forEach((stream, receiver) => {
      if (stream.isOpen()) stream.send(buildHeartbeat(receiver, beat));
      else streams.delete(receiver);
    });
  };
  documents.onChange(() => {
    reconcile();
    setImmediate(sendHeartbeats);
  });

  const pollStore = (): void => {
    if (nowMs() - endpointsReadAtMs >= ENDPOINT_POLL_INTERVAL_MS && isStoreReachable()) {
      endpointsReadAtMs = nowMs();
      endpoints = listEndpoints();
      servers.forEach((server, group) => updateGroup(group, server));
    }
    const needsStore = servers.size > 0 && ownership.needsStoreConfirmation();
    if (!needsStore || isRefreshing || nowMs() - refreshedAtMs < RECORD_REFRESH_INTERVAL_MS) return;
    isRefreshing = true;
    refreshedAtMs = nowMs();
    ownership
      .refreshRecords()
      .catch(() => undefined)
      .finally(() => {
        isRefreshing = false;
      });
  };
  const { address, dataCentre } = self;
  const register = (): void => {
    if (fleet.isLeaving()) return;
    world
      .register(vm, process, JSON.stringify({ address, dataCentre, incarnation }))
      .catch(() => undefined);
  };
  register();
  setInterval(register, REGISTRATION_INTERVAL_MS);
  setInterval(() => {
    sendHeartbeats();
    reconcile();
    pollStore();
  }, HEARTBEAT_INTERVAL_MS);

  const takeItem = (item: Parameters<typeof documents.putIfNewer>[0]): void => {
    const isSet = item.key === storeKeys.voterSet;
    if (isSet || item.key.startsWith(storeKeys.groupPrefix)) documents.putIfNewer(item);
  };
  hooks.isStoreViewCurrent = createStoreWatcher({
    store,
    prefix: storeKeys.root,
    waitMs: () => FLEET_WATCH_TIMEOUT_MS,
    log,
    onList: (items) => {
      items.forEach(takeItem);
      ownership.markRecordsListed();
      const registrations = items
        .map((item) => parseRegistration(item, log))
        .filter((entry) => entry !== undefined);
      fleet.replaceRegistrations(new Map(registrations));
      reconcile();
    },
    onEvents: (events) => {
      events.forEach((event) => {
        if (!('value' in event)) {
          if (event.key.startsWith(storeKeys.vmPrefix))
            fleet.unregister(event.key.slice(storeKeys.vmPrefix.length));
          return;
        }
        takeItem(event);
        const registered = parseRegistration(event, log);
        if (registered) fleet.register(...registered);
      });
      reconcile();
    },
  }).isReachable;

  world.linkTargets.set(vm, {
    process,
    onHello: (hello, stream) => {
      streams.set(hello.vm, stream);
      fleet.addFromHello(hello);
    },
    onDocument: (document) => {
      documents.putIfNewer(document);
    },
  });

  return {
    self,
    process,
    findServingVm: ownership.findServingVm,
    setStrained: fleet.setStrained,
    /** Runs a call that another VM, or this one, took from a caller. */
    run: async (origin: string, call: GroupCall): Promise<CallOutcome> => {
      const isContinuation = call.transaction !== 0 && !call.opensTransaction;
      const server = isContinuation
        ? [...servers.values(), ...retiredServers].find((candidate) =>
            candidate.hasTransaction(origin, call.transaction),
          )
        : undefined;
      const chosen = server ?? servers.get(call.group);
      return chosen ? chosen.run(origin, call, NO_VALUES) : { kind: 'notOwner' };
    },
    startLeaving: (): void => {
      fleet.startLeaving();
      sendHeartbeats();
      voterChanges.leave(LEAVE_LIMIT_MS);
      servers.forEach((_server, group) => ownership.handOver(group).catch(() => undefined));
    },
  };
};

export default createSoakVm;
