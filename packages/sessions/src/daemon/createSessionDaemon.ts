import { countVoterSeats, createStrainDetector } from '@auburngrade/coordination';
import createDocuments from '../fleet/createDocuments';
import createEvacuations from '../fleet/createEvacuations';
import createFleet from '../fleet/createFleet';
import createObserver from '../fleet/createObserver';
import createOwnership from '../fleet/createOwnership';
import createRegistration from '../fleet/createRegistration';
import createStoreWatcher from '../fleet/createStoreWatcher';
import createVoterChanges from '../fleet/createVoterChanges';
import parseRegistration from '../fleet/parseRegistration';
import readDocumentOrigin from '../fleet/readDocumentOrigin';
import type KnownDocument from '../fleet/knownDocument';
import storeKeys from '../fleet/storeKeys';
import createGroupRouter from '../front/createGroupRouter';
import createSession from '../front/createSession';
import type { FleetState, GroupCall, Hello } from '../generated/auburngrade/session/v1/session';
import type CallOutcome from '../group/callOutcome';
import createGroupServer from '../group/createGroupServer';
import createRateLimiter from '../limits/createRateLimiter';
import type PeerLink from '../link/peerLink';
import startLinkServer from '../link/startLinkServer';
import type CallerConnection from '../seams/callerConnection';
import type CallerSession from '../seams/callerSession';
import type CallerGuard from '../limits/callerGuard';
import type EventLog from '../seams/eventLog';
import type FailoverClient from '../seams/failoverClient';
import type FleetConfiguration from '../seams/fleetConfiguration';
import type MemberDialer from '../seams/memberDialer';
import type MetadataStore from '../seams/metadataStore';
import type NodeSettings from '../seams/nodeSettings';
import type StoredValueDecoder from '../seams/storedValueDecoder';
import type StatementObservation from '../seams/statementObservation';
import type StoredItem from '../seams/storedItem';
import createEndpointRegistry from './createEndpointRegistry';
import createCallHolds from './createCallHolds';
import createIsolationMonitor from './createIsolationMonitor';
import createRateUsage from './createRateUsage';
import createRole from './createRole';
import createShutdown from './createShutdown';
import toCallResult from './toCallResult';

const HEARTBEAT_INTERVAL_MS = 250;
/** Observers are sent the fleet's state with each second heartbeat, and when a group's record changes. */
const HEARTBEATS_PER_STATE = 2;
/** The registration lapses after three failed renewals. */
const REGISTRATION_TTL_MS = 4_000;
/** The operator's changes must apply within 3 s, even if one watch misses them. */
const CONFIGURATION_WATCH_TIMEOUT_MS = 1_500;
/** VMs that watch with the short timeout; the others learn of changes from them or by longer watches. */
const CONFIGURATION_WATCHERS = 2;
/** Watches of the proxy's own keys may be long, since VMs push changes to each other. */
const DEFAULT_WATCH_TIMEOUT_MS = 10_000;
/** Without a peer lease, a confirmation of the records by the store is valid for 1.2 s. */
const RECORD_REFRESH_INTERVAL_MS = 400;
const STRAIN_SAMPLE_INTERVAL_MS = 50;
/** A timer later than this means that the VM was suspended, not that it is short of processor time. */
const SUSPENSION_LATENESS_MS = 500;

interface SessionDaemonOptions {
  settings: NodeSettings;
  incarnation: string;
  store: MetadataStore;
  decoder: StoredValueDecoder;
  dialer: MemberDialer;
  failover: FailoverClient;
  guard: CallerGuard;
  log: EventLog;
  /** Called with the result of each statement for a group; not for statements of the session itself. */
  onStatement(observation: StatementObservation): void;
  nowMs(): number;
  wallMs(): number;
}

/** Stands for any group whose name can be sent. */
const GROUP_PLACEHOLDER = '-';
/** Stands for the record of a group whose record is not known. */
const UNKNOWN_RECORD = { primary: '', term: 0, fence: 0 };

/** Whether voters keep the document and tell each other of it: a group's record, or the set of voters. */
const isFleetDocument = ({ key }: Pick<KnownDocument, 'key'>): boolean =>
  key.startsWith(storeKeys.groupPrefix) || key === storeKeys.voterSet;

type GroupServer = ReturnType<typeof createGroupServer>;

/** Runs one VM of the proxy: caller sessions, the groups that it serves, and its links to other VMs. */
const createSessionDaemon = async (options: SessionDaemonOptions) => {
  const { settings, incarnation, store, decoder, dialer, failover, guard, log, nowMs, wallMs } =
    options;
  const address = `${settings.ip}:${settings.internalPort}`;
  const { vm, dataCentre } = settings;
  const self = { vm, incarnation, address, dataCentre, isObserver: false, isSubscriber: false };
  /** The last decoded text: the configuration is large, and is read for its version before it is applied. */
  let lastDecoded: { value: string; decoded: FleetConfiguration | undefined } | undefined;
  const decodeConfiguration = (value: string): FleetConfiguration | undefined => {
    if (lastDecoded?.value !== value)
      lastDecoded = { value, decoded: decoder.configuration(value) };
    return lastDecoded.decoded;
  };
  const documents = createDocuments({
    nowMs,
    log,
    readOrigin: (key, value) =>
      key === decoder.configurationKey
        ? { version: decodeConfiguration(value)?.version }
        : readDocumentOrigin(key, value),
  });
  const evacuations = createEvacuations({
    documents,
    prefix: decoder.evacuationPrefix,
    boundMs: settings.evacuationBoundMs,
    log,
    nowMs,
  });
  const limiter = createRateLimiter(nowMs);
  const servers = new Map<string, GroupServer>();
  const retiredServers = new Set<GroupServer>();
  const sessions = new Set<ReturnType<typeof createSession>>();
  let configuration: FleetConfiguration | undefined;
  let lastId = 0;
  const nextId = (): number => {
    lastId += 1;
    return lastId;
  };

  const rateUsage = createRateUsage(limiter, nowMs);
  let configurationWatcher: ReturnType<typeof createStoreWatcher> | undefined;
  /** Set below: objects need the callbacks before those that they use exist. */
  const hooks = {
    reconcile: (): void => undefined,
    startVoting: (): void => undefined,
    updateGroups: (): void => undefined,
  };
  const seatCount = (): number =>
    countVoterSeats(settings.dataCentres.length, configuration?.groups.size ?? 0);
  const registration = createRegistration({
    store,
    vm,
    registration: { address, dataCentre, incarnation },
    ttlMs: Math.max(settings.minLeaseMs, REGISTRATION_TTL_MS),
    log,
    seatCount,
    random: Math.random,
  });
  const isStoreReachable = (): boolean =>
    configurationWatcher?.isReachable() === true && registration.isStoreAnswering();
  const fleet = createFleet({
    self,
    documents,
    log,
    nowMs,
    wallMs,
    isStoreReachable,
    isEvacuated: (name) => !evacuations.isInService(name),
    onRateUsage: rateUsage.chargeReport,
    onChange: () => hooks.reconcile(),
  });
  const observer = createObserver({ self, documents, log, nowMs });
  let fleetWatcher: ReturnType<typeof createStoreWatcher> | undefined;
  const endpointRegistry = createEndpointRegistry({
    store,
    decoder,
    log,
    nowMs,
    onList: () => hooks.updateGroups(),
  });
  const ownership = createOwnership({
    self,
    store,
    documents,
    fleet,
    log,
    nowMs,
    wallMs,
    isReplacingPrimary: (group) => servers.get(group)?.isReplacingPrimary() ?? false,
    isStoreViewCurrent: () => fleetWatcher?.isReachable() ?? false,
    primaryDataCentre: endpointRegistry.primaryDataCentre,
    primaryPhase: (group) => {
      const primaryDataCentre = endpointRegistry.primaryDataCentre(group);
      return primaryDataCentre === undefined ? 'inService' : evacuations.phaseOf(primaryDataCentre);
    },
  });

  const voterChanges = createVoterChanges({
    self,
    store,
    documents,
    fleet,
    log,
    nowMs,
    isStoreViewCurrent: () => fleetWatcher?.isReachable() ?? false,
  });

  const getControlAccount = (): string =>
    [...(configuration?.accountsByKey.values() ?? [])].find((account) =>
      dialer.canSend(GROUP_PLACEHOLDER, account),
    ) ?? settings.vm;

  const updateGroup = (group: string, server: GroupServer): void => {
    const endpoints = endpointRegistry.endpointsOf(group);
    const { maxConnections = 1, warmupRatePerS = 0 } = configuration?.groups.get(group) ?? {};
    if (endpoints) server.updateEndpoints(endpoints, maxConnections, warmupRatePerS);
  };
  hooks.updateGroups = (): void => servers.forEach((server, group) => updateGroup(group, server));
  evacuations.onChange(() =>
    [...servers.values(), ...retiredServers].forEach((server) => server.noteEvacuationsChanged()),
  );

  const isDropped = (group: string): boolean => configuration?.groups.has(group) === false;
  /** Whether no other VM can replace the primary of a dropped group, whose transactions end here. */
  const isOwnedAfterDrop = (group: string, tenure: string | undefined): boolean =>
    isDropped(group) &&
    tenure !== undefined &&
    ownership.findTenure(group) === tenure &&
    ownership.isAuthoritative(group);

  const openGroup = (group: string): void => {
    log.info('group.opened', { group, record: ownership.getRecord(group) });
    const server = createGroupServer({
      group,
      ownerVm: settings.vm,
      dialer,
      failover,
      limiter,
      log,
      nowMs,
      random: Math.random,
      controlAccount: getControlAccount,
      evacuationPhaseOf: evacuations.phaseOf,
      storeEra: () => store.era(),
      getRecordedPrimary: () => {
        const { primary, term, fence } = ownership.getRecord(group) ?? UNKNOWN_RECORD;
        return { primary, term, fence };
      },
      record: (next) => ownership.recordPrimary(group, next),
      syncReplicas: () => configuration?.groups.get(group)?.syncReplicas ?? 0,
      canReplacePrimary: () => ownership.mayReplacePrimary(group),
      findTenure: () => ownership.findTenure(group),
      isAuthoritative: () => ownership.isAuthoritative(group),
      isInHandoverGrace: (tenure) =>
        ownership.isInHandoverGrace(group, tenure) || isOwnedAfterDrop(group, tenure),
    });
    servers.set(group, server);
    updateGroup(group, server);
  };

  const closeGroup = (group: string, server: GroupServer): void => {
    servers.delete(group);
    const record = ownership.getRecord(group);
    const isPlanned =
      record?.isHandedOver === true || (isDropped(group) && ownership.isServedHere(group));
    log.info('group.closed', { group, owner: record?.owner, planned: isPlanned });
    if (isPlanned) {
      server.startDraining();
      retiredServers.add(server);
    } else {
      server.close();
    }
  };

  const role = createRole({
    settings,
    store,
    configurationKey: decoder.configurationKey,
    registration,
    observer,
    log,
    nowMs,
    random: Math.random,
    hasConfiguration: () => configuration !== undefined,
    seatCount,
    onConfiguration: (item) => documents.putIfNewer(item),
    onVoter: () => hooks.startVoting(),
  });

  const reconcile = (): void => {
    if (!role.isVoter()) return;
    const groups = new Set(configuration?.groups.keys());
    ownership.reconcile(groups);
    groups.forEach((group) => {
      if (ownership.isServedHere(group) && !servers.has(group)) openGroup(group);
    });
    servers.forEach((server, group) => {
      if (!ownership.isServedHere(group) || !groups.has(group)) closeGroup(group, server);
    });
    retiredServers.forEach((server) => {
      if (server.countOpenTransactions() + server.countInFlight() > 0) return;
      retiredServers.delete(server);
      server.close();
    });
    fleet.removeStalePeers();
    voterChanges.update();
    rateUsage.updateShare(fleet.vms(), ownership.isServedHere, groups, ownership.findServingVm);
  };
  hooks.reconcile = reconcile;

  const applyConfiguration = ({ value, era, revision }: KnownDocument): void => {
    const decoded = decodeConfiguration(value);
    if (!decoded) {
      log.warn('configuration.unreadable', { era, revision });
      return;
    }
    if (configuration && decoded.version < configuration.version) return;
    configuration = decoded;
    log.info('configuration.applied', { version: decoded.version, era, revision });
    limiter.setLimits(decoded.limits);
    hooks.updateGroups();
    sessions.forEach((session) => session.closeIfAccessRevoked());
    reconcile();
  };
  documents.onChange((document) => {
    if (document.key === decoder.configurationKey) applyConfiguration(document);
    else reconcile();
  });

  let refreshedAtMs = Number.NEGATIVE_INFINITY;
  let isRefreshingRecords = false;
  const pollStore = (): void => {
    endpointRegistry.poll(servers.size > 0);
    const needsStore = servers.size > 0 && ownership.needsStoreConfirmation();
    const isDue = nowMs() - refreshedAtMs >= RECORD_REFRESH_INTERVAL_MS;
    if (!needsStore || isRefreshingRecords || !isDue) return;
    isRefreshingRecords = true;
    refreshedAtMs = nowMs();
    ownership
      .refreshRecords()
      .catch((error) => log.info('ownership.unconfirmed', { reason: String(error) }))
      .finally(() => {
        isRefreshingRecords = false;
      });
  };

  const findServer = (call: GroupCall): GroupServer | undefined => servers.get(call.group);
  /** Runs a call on its group's server; a transaction begun before a handover continues on the retired one. */
  const runCall = async (
    origin: string,
    call: GroupCall,
    values: ReadonlyMap<string, string>,
  ): Promise<CallOutcome> => {
    const isContinuation = call.transaction !== 0 && !call.opensTransaction;
    const transactionServer = isContinuation
      ? [...servers.values(), ...retiredServers].find((server) =>
          server.hasTransaction(origin, call.transaction),
        )
      : undefined;
    const server = transactionServer ?? findServer(call);
    return server ? server.run(origin, call, values) : { kind: 'notOwner' };
  };
  const endTransactionOnServers = (origin: string, transaction: number): void =>
    [...servers.values(), ...retiredServers].forEach((server) =>
      server.endTransaction(origin, transaction),
    );

  const listServedGroups = (): string[] =>
    [...servers.keys()].filter((group) => ownership.isAuthoritativeBeyondPeerLease(group));
  const listReachableGroups = (): Set<string> =>
    new Set([...listServedGroups(), ...fleet.groupsServedByReachablePeers()]);
  const isolationMonitor = createIsolationMonitor({
    sessions,
    log,
    nowMs,
    groups: () => new Set(configuration?.groups.keys()),
    servedGroups: () => (role.isVoter() ? listReachableGroups() : new Set(observer.servedGroups())),
    isStoreWatched: () =>
      role.isVoter() ? configurationWatcher?.isReachable() === true : role.isInformed(),
  });

  const describeFleet = (): FleetState => {
    const servedGroups = listReachableGroups();
    const voters = fleet.voters();
    const hasVacancy = (name: string): boolean =>
      voters.filter((voter) => voter.dataCentre === name).length < seatCount();
    return {
      isFull: true,
      routes: [...(configuration?.groups.keys() ?? [])].flatMap((group) => {
        const owner = ownership.findServingVm(group);
        if (owner === undefined) return [];
        const ownerAddress = fleet.addressOf(owner) ?? '';
        return { group, vm: owner, address: ownerAddress, isServed: servedGroups.has(group) };
      }),
      voters,
      vacantDataCentres: settings.dataCentres.filter(hasVacancy),
      isStoreReachable: isStoreReachable(),
      isLeaving: fleet.isLeaving(),
    };
  };

  /** Whether observers need the document: the configuration, or the evacuated data centres. */
  const isObservedDocument = ({ key }: Pick<KnownDocument, 'key'>): boolean =>
    key === decoder.configurationKey || key === storeKeys.evacuations;

  /** Of voters that opened a stream before this VM was one. */
  const earlyHellos: Hello[] = [];
  const callHolds = createCallHolds(guard);
  const linkServer = await startLinkServer({
    address,
    log,
    onHello: (hello) => {
      if (role.isVoter()) fleet.addFromHello(hello);
      else earlyHellos.push(hello);
      role.onKnownAsVoter();
    },
    fleetState: describeFleet,
    observedDocuments: () => documents.all().filter(isObservedDocument),
    run: async (origin, call, values) => toCallResult(await runCall(origin, call, values)),
    ...callHolds,
    endTransaction: endTransactionOnServers,
    endOrigin: (origin) =>
      [...servers.values(), ...retiredServers].forEach((server) =>
        server.endTransactionsOfSender(origin),
      ),
    onDocument: (document) => {
      documents.putIfNewer(document);
    },
    heartbeat: (stream, receiver, heartbeatNumber, isFirst) => ({
      vm: settings.vm,
      incarnation,
      heard: { vms: fleet.heardVms() },
      confirmedBeat: fleet.confirmedBeat(receiver),
      documents: documents
        .all()
        .map(({ key, version, era, revision }) => ({ key, version, era, revision })),
      beat: heartbeatNumber,
      isSettled: fleet.isSettled(),
      acting: ownership.acting(),
      isStoreReachable: isStoreReachable(),
      isStrained: fleet.isStrained(),
      spending: rateUsage.report(stream, isFirst),
      // An observer leaves the voters of whom it was one before it restarted.
      isLeaving: fleet.isLeaving() || role.isObserver(),
      serving: listServedGroups().filter((group) => !ownership.isLeftToOthers(group)),
    }),
  });
  const sendHeartbeats = (): void => linkServer.beat(fleet.nextHeartbeatNumber());
  // Heartbeats report known records at once: an owner waits for a majority before it replaces a primary, and a change
  // of the voters for a majority that knows the one before.
  documents.onChange((document) => {
    if (isObservedDocument(document)) linkServer.publishDocument(document);
    if (!isFleetDocument(document)) return;
    setImmediate(sendHeartbeats);
    if (document.key !== storeKeys.voterSet) setImmediate(linkServer.publishState);
  });
  const strainGauge = createStrainDetector();
  let nextSampleDueAtMs = nowMs() + STRAIN_SAMPLE_INTERVAL_MS;
  const strainTimer = setInterval(() => {
    isolationMonitor.observe();
    const now = nowMs();
    const latenessMs = now - nextSampleDueAtMs;
    nextSampleDueAtMs = now + STRAIN_SAMPLE_INTERVAL_MS;
    // Ignores the first seconds, when the process compiles its code, and suspensions of the VM.
    if (!fleet.isSettled() || latenessMs > SUSPENSION_LATENESS_MS) return;
    const wasStrained = fleet.isStrained();
    fleet.setStrained(strainGauge.observe(latenessMs, now));
    if (fleet.isStrained() !== wasStrained) {
      log.info('vm.strain', {
        isStrained: fleet.isStrained(),
        averageLatenessMs: Math.round(strainGauge.averageLagMs()),
        groups: servers.size,
      });
    }
  }, STRAIN_SAMPLE_INTERVAL_MS);
  const heartbeatTimer = setInterval(() => {
    if (!role.isVoter()) {
      role.update();
      return;
    }
    sendHeartbeats();
    if (fleet.lastHeartbeatNumber() % HEARTBEATS_PER_STATE === 0) linkServer.publishState();
    reconcile();
    pollStore();
  }, HEARTBEAT_INTERVAL_MS);

  const shutdown = createShutdown({
    graceMs: settings.graceMs,
    log,
    nowMs,
    sessions,
    groupServers: () => [...servers.values(), ...retiredServers],
    ownedGroups: () => [...servers.keys()].filter(ownership.isOwnedHere),
    handOver: ownership.handOver,
    leaveFleet: () => {
      clearInterval(heartbeatTimer);
      clearInterval(strainTimer);
      return registration
        .close()
        .catch((error) => log.info('vm.leaseNotEnded', { reason: String(error) }));
    },
    closeLinkServer: linkServer.close,
  });

  const findLink = (name: string): PeerLink | undefined => {
    if (!role.isVoter()) return observer.link(name);
    const peerLink = fleet.link(name);
    // A VM that has just become a voter still has the streams that it opened as an observer.
    return peerLink?.isUp() ? peerLink : (observer.openLink(name) ?? peerLink);
  };
  const router = createGroupRouter({
    self: settings.vm,
    log,
    nowMs,
    random: Math.random,
    findServingVm: (group) =>
      role.isVoter() ? ownership.findServingVm(group) : observer.findServingVm(group),
    link: findLink,
    runLocally: (call, values) => runCall(settings.vm, call, values),
    hasNoReachableGroup: isolationMonitor.isRemovedFromBalancer,
    isStopping: () => shutdown.isDrained(),
    ...callHolds,
    endLocalTransaction: (_group, transaction) => endTransactionOnServers(settings.vm, transaction),
  });

  const cacheFleetDocument = (item: StoredItem): void => {
    if (isFleetDocument(item)) documents.putIfNewer(item);
  };

  const cacheConfiguration = (item: StoredItem): void => {
    if (item.key === decoder.configurationKey) documents.putIfNewer(item);
  };

  hooks.startVoting = (): void => {
    // Along with the lists of the watchers, since a claimed group needs its endpoints at once.
    pollStore();
    rateUsage.join();
    earlyHellos.splice(0).forEach(fleet.addFromHello);
    configurationWatcher = createStoreWatcher({
      store,
      prefix: decoder.operatorPrefix,
      waitMs: () => {
        const frequentWatchers = fleet.vmsReachingStore(true).slice(0, CONFIGURATION_WATCHERS);
        return frequentWatchers.includes(vm)
          ? CONFIGURATION_WATCH_TIMEOUT_MS
          : DEFAULT_WATCH_TIMEOUT_MS;
      },
      log,
      onList: (items, position) => {
        items.forEach(cacheConfiguration);
        evacuations.takeList(items, position);
      },
      onEvents: (events, { era }) => {
        events.forEach((event) => 'value' in event && cacheConfiguration(event));
        evacuations.takeEvents(events, era);
      },
    });
    fleetWatcher = createStoreWatcher({
      store,
      prefix: storeKeys.root,
      waitMs: () => DEFAULT_WATCH_TIMEOUT_MS,
      log,
      onList: (items) => {
        items.forEach(cacheFleetDocument);
        ownership.markRecordsListed();
        const registrations = items
          .map((item) => parseRegistration(item, log))
          .filter((entry) => entry !== undefined);
        fleet.replaceRegistrations(new Map(registrations));
        reconcile();
      },
      onEvents: (events) => {
        events.forEach((event) => {
          if ('value' in event) {
            cacheFleetDocument(event);
            const registered = parseRegistration(event, log);
            if (registered) fleet.register(...registered);
          } else if (event.key.startsWith(storeKeys.vmPrefix)) {
            fleet.unregister(event.key.slice(storeKeys.vmPrefix.length));
          }
        });
        reconcile();
      },
    });
  };
  role.update();

  const isReady = (): boolean =>
    configuration !== undefined && !fleet.isLeaving() && !isolationMonitor.isIsolated();

  return {
    /** Whether the load balancer should send callers to this VM. */
    isReady,
    openSession: (connection: CallerConnection): CallerSession => {
      const opened = createSession({
        connection,
        router,
        log,
        nowMs,
        nextId,
        configuration: () => configuration,
        isAcceptingSessions: shutdown.isAcceptingSessions,
        endSession: (session) => {
          fleet.vms().forEach((view) => fleet.link(view.vm)?.endSession(session));
          observer.endSession(session);
        },
        onStatement: options.onStatement,
        onEnd: () => sessions.delete(opened),
      });
      sessions.add(opened);
      return opened.session;
    },
    /** Whether this VM is a voter, which exchanges heartbeats and may own groups. */
    isVoter: role.isVoter,
    sessionCount: () => sessions.size,
    /** Bytes of sessions' values that are kept for other VMs. */
    valuesBytes: linkServer.valuesBytes,
    configurationVersion: () => configuration?.version,
    groups: () => servers,
    /** The deployment's data centres, and others that are evacuated, with how far their evacuation is. */
    evacuations: () =>
      [...new Set([...settings.dataCentres, ...evacuations.dataCentres()])].map((name) => ({
        dataCentre: name,
        phase: evacuations.phaseOf(name),
      })),
    /** Drains the VM within the grace period since the signal: hands its groups over, ends its work, and closes. */
    shutDown: async (signalledAtMs: number): Promise<void> => {
      fleet.startLeaving();
      linkServer.beat(fleet.nextHeartbeatNumber());
      linkServer.publishState();
      log.info('daemon.stopping', { sessions: sessions.size, groups: servers.size });
      voterChanges.leave(settings.graceMs);
      await shutdown.run(signalledAtMs);
      configurationWatcher?.close();
      fleetWatcher?.close();
      fleet.close();
      observer.close();
      evacuations.close();
    },
  };
};

export default createSessionDaemon;
