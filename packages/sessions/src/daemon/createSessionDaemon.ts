import { createStrainGauge } from '@auburngrade/coordination';
import createDocuments from '../fleet/createDocuments';
import createFleet from '../fleet/createFleet';
import createOwnership from '../fleet/createOwnership';
import createRegistration from '../fleet/createRegistration';
import createStoreFollower from '../fleet/createStoreFollower';
import storeKeys from '../fleet/storeKeys';
import type VmRegistration from '../fleet/vmRegistration';
import createGroupRouter from '../front/createGroupRouter';
import createSession from '../front/createSession';
import type { CallResult, GroupCall } from '../generated/auburngrade/session/v1/session';
import type CallOutcome from '../group/callOutcome';
import createGroupServer from '../group/createGroupServer';
import createRateLimiter from '../limits/createRateLimiter';
import startLinkServer from '../link/startLinkServer';
import type CallerConnection from '../seams/callerConnection';
import type CallerSession from '../seams/callerSession';
import type EventLog from '../seams/eventLog';
import type FailoverCaller from '../seams/failoverCaller';
import type FleetConfiguration from '../seams/fleetConfiguration';
import type GroupEndpoint from '../seams/groupEndpoint';
import type MemberDialer from '../seams/memberDialer';
import type MetadataStore from '../seams/metadataStore';
import type NodeSettings from '../seams/nodeSettings';
import type SiteDecoder from '../seams/siteDecoder';
import type StatementObservation from '../seams/statementObservation';
import type StoredItem from '../seams/storedItem';
import createIsolation from './createIsolation';
import createSpending from './createSpending';

/** Heartbeats between VMs. */
const BEAT_MS = 250;
/** A registration outlives three renewals in vain. */
const REGISTRATION_TTL_MS = 4_000;
/** The operator's changes apply within 3 s, also when one watch hears nothing. */
const CONFIGURATION_WATCH_MS = 1_500;
/** So many VMs watch at that pace; the others hear of changes from their own watch or from them. */
const CONFIGURATION_WATCHERS = 2;
/** VMs tell each other of changes, so the watch of the product's own keys may be long. */
const LONG_WATCH_MS = 10_000;
/** Endpoints that leave are to be left within seconds; their entries change with each heartbeat. */
const ENDPOINT_POLL_MS = 1_500;
/** A VM that owns no group only keeps the list at hand for when it does. */
const IDLE_ENDPOINT_POLL_MS = 10_000;
/** An owner that lacks the other VMs' confirmations trusts the store for 1.2 s at a time. */
const REFRESH_MS = 400;
/** How often the lateness of timers is looked at. */
const STRAIN_SAMPLE_MS = 50;
/** A timer that is later than this tells of a VM that stood still, not of one that is slow. */
const SUSPENDED_MS = 500;
/** The balancer takes a VM out after two questions, a second apart. */
const BALANCER_NOTICE_MS = 2_200;
const SHUTDOWN_POLL_MS = 50;
/** Part of the grace that open transactions get, and when the process ends at the latest. */
const TRANSACTION_PART = 0.5;
const END_PART = 0.8;

interface SessionDaemonOptions {
  settings: NodeSettings;
  incarnation: string;
  store: MetadataStore;
  decoder: SiteDecoder;
  dialer: MemberDialer;
  failover: FailoverCaller;
  log: EventLog;
  /** Called with each statement that a group answered. */
  onStatement(observation: StatementObservation): void;
  nowMs(): number;
  wallMs(): number;
}

/** The primary of a group whose record is not known. */
const NEVER_REPLACED = { primary: '', term: 0, fence: 0 };

type GroupServer = ReturnType<typeof createGroupServer>;

const toCallResult = (outcome: CallOutcome): CallResult => ({
  call: 0,
  isNotOwner: outcome.kind === 'notOwner',
  rows: outcome.kind === 'complete' ? [...outcome.rows] : [],
  signature: outcome.kind === 'complete' ? outcome.signature : '',
  refusalCode: outcome.kind === 'refused' ? outcome.code : '',
  message: outcome.kind === 'refused' ? outcome.message : '',
  position: outcome.kind === 'notOwner' ? undefined : outcome.position,
});

/** A VM of the proxy: callers' sessions, the groups that it owns, and its part in the fleet. */
const createSessionDaemon = async (options: SessionDaemonOptions) => {
  const { settings, incarnation, store, decoder, dialer, failover, log, nowMs, wallMs } = options;
  const address = `${settings.ip}:${settings.internalPort}`;
  const { vm, dataCentre } = settings;
  const self = { vm, incarnation, address, dataCentre };
  const documents = createDocuments(nowMs);
  const limiter = createRateLimiter(nowMs);
  const servers = new Map<string, GroupServer>();
  const retired = new Set<GroupServer>();
  const sessions = new Set<ReturnType<typeof createSession>>();
  let configuration: FleetConfiguration | undefined;
  let endpoints: GroupEndpoint[] = [];
  let hasEndpoints = false;
  let lastNumber = 0;
  const nextNumber = (): number => {
    lastNumber += 1;
    return lastNumber;
  };

  const spending = createSpending(limiter, nowMs);
  let configurationFollower: ReturnType<typeof createStoreFollower> | undefined;
  let registration: ReturnType<typeof createRegistration> | undefined;
  const isStoreReachable = (): boolean =>
    configurationFollower?.isReachable() === true && registration?.isAnswered() === true;
  /** Set below: the fleet tells of changes before the rest exists. */
  const hooks = { review: (): void => undefined };
  const fleet = createFleet({
    self,
    documents,
    log,
    nowMs,
    wallMs,
    isStoreReachable,
    onSpending: spending.onReport,
    onChange: () => hooks.review(),
  });
  let fleetFollower: ReturnType<typeof createStoreFollower> | undefined;
  const ownership = createOwnership({
    self,
    store,
    documents,
    fleet,
    log,
    nowMs,
    wallMs,
    isFollowing: () => fleetFollower?.isReachable() ?? false,
    primaryDataCentre: (group) =>
      endpoints.find((endpoint) => endpoint.group === group && endpoint.claimsPrimary)?.dataCentre,
  });

  const controlAccount = (): string =>
    [...(configuration?.accountsByKey.values() ?? [])][0] ?? settings.vm;

  const updateGroup = (group: string, server: GroupServer): void => {
    const listed = endpoints.filter((endpoint) => endpoint.group === group);
    if (hasEndpoints) {
      server.updateEndpoints(listed, configuration?.groups.get(group)?.maxConnections ?? 1);
    }
  };

  const openGroup = (group: string): void => {
    log.info('group.opened', { group, record: ownership.recordOf(group) });
    const server = createGroupServer({
      group,
      holder: settings.vm,
      dialer,
      failover,
      limiter,
      log,
      nowMs,
      controlAccount,
      recorded: () => {
        const { primary, term, fence } = ownership.recordOf(group) ?? NEVER_REPLACED;
        return { primary, term, fence };
      },
      record: (next) => ownership.recordPrimary(group, next),
      mayReplace: () => ownership.mayReplacePrimary(group),
      isCertain: () => ownership.isCertain(group),
    });
    servers.set(group, server);
    updateGroup(group, server);
  };

  const closeGroup = (group: string, server: GroupServer): void => {
    servers.delete(group);
    const record = ownership.recordOf(group);
    const isPlanned = record?.isHandedOver === true;
    log.info('group.closed', { group, owner: record?.owner, planned: isPlanned });
    if (isPlanned) {
      server.retire();
      retired.add(server);
    } else {
      server.close();
    }
  };

  const review = (): void => {
    const groups = new Set(configuration?.groups.keys());
    ownership.review(groups);
    groups.forEach((group) => {
      if (ownership.isServedHere(group) && !servers.has(group)) openGroup(group);
    });
    servers.forEach((server, group) => {
      if (!ownership.isServedHere(group) || !groups.has(group)) closeGroup(group, server);
    });
    retired.forEach((server) => {
      if (server.openTransactions() + server.underWay() > 0) return;
      retired.delete(server);
      server.close();
    });
    fleet.prune();
    spending.balance(fleet.vms(), ownership.isServedHere, groups, ownership.servingVm);
  };
  hooks.review = review;

  const takeConfiguration = (value: string, revision: number): void => {
    const decoded = decoder.configuration(value);
    if (!decoded) {
      log.warn('configuration.unreadable', { revision });
      return;
    }
    if (configuration && decoded.version < configuration.version) return;
    configuration = decoded;
    log.info('configuration.applied', { version: decoded.version, revision });
    limiter.setLimits(decoded.limits);
    servers.forEach((server, group) => updateGroup(group, server));
    sessions.forEach((session) => session.review());
    review();
  };
  documents.onChange(({ key, value, revision }) => {
    if (key === decoder.configurationKey) takeConfiguration(value, revision);
    else review();
  });

  const readEndpoints = async (): Promise<void> => {
    const { items } = await store.list(decoder.endpointPrefix);
    endpoints = items.flatMap(({ key, value }) => decoder.endpoint(key, value) ?? []);
    hasEndpoints = true;
    servers.forEach((server, group) => updateGroup(group, server));
  };
  let endpointsReadAtMs = Number.NEGATIVE_INFINITY;
  let refreshedAtMs = Number.NEGATIVE_INFINITY;
  let isReading = false;
  let isRefreshing = false;
  const isDue = (atMs: number, intervalMs: number): boolean => nowMs() - atMs >= intervalMs;
  const poll = (): void => {
    const isUsed = servers.size > 0 || !hasEndpoints;
    const pollMs = isUsed ? ENDPOINT_POLL_MS : IDLE_ENDPOINT_POLL_MS;
    if (!isReading && isDue(endpointsReadAtMs, pollMs)) {
      isReading = true;
      endpointsReadAtMs = nowMs();
      readEndpoints()
        .catch((error) => log.info('endpoints.unread', { reason: String(error) }))
        .finally(() => {
          isReading = false;
        });
    }
    const needsStore = servers.size > 0 && ownership.needsStore();
    if (needsStore && !isRefreshing && isDue(refreshedAtMs, REFRESH_MS)) {
      isRefreshing = true;
      refreshedAtMs = nowMs();
      ownership
        .refresh()
        .catch((error) => log.info('ownership.unconfirmed', { reason: String(error) }))
        .finally(() => {
          isRefreshing = false;
        });
    }
  };

  // Beside the lists of the fleet and the configuration: a group that is claimed needs its endpoints.
  poll();

  const serverOf = (call: GroupCall): GroupServer | undefined => servers.get(call.group);
  /** Transactions that began before a hand-over go on at the server that was retired. */
  const runAt = async (
    origin: string,
    call: GroupCall,
    values: ReadonlyMap<string, string>,
  ): Promise<CallOutcome> => {
    const isNext = call.transaction !== 0 && !call.opensTransaction;
    const holder = isNext
      ? [...servers.values(), ...retired].find((server) =>
          server.hasTransaction(origin, call.transaction),
        )
      : undefined;
    const server = holder ?? serverOf(call);
    return server ? server.run(origin, call, values) : { kind: 'notOwner' };
  };
  const endTransactionAt = (origin: string, transaction: number): void =>
    [...servers.values(), ...retired].forEach((server) =>
      server.endTransaction(origin, transaction),
    );

  const servedHere = (): string[] =>
    [...servers.keys()].filter((group) => ownership.isLastinglyCertain(group));
  const isolation = createIsolation({
    sessions,
    log,
    nowMs,
    groups: () => new Set(configuration?.groups.keys()),
    servedGroups: () => new Set([...servedHere(), ...fleet.servedElsewhere()]),
    isStoreReached: () => configurationFollower?.isReachable() === true,
  });

  const links = await startLinkServer({
    address,
    onHello: fleet.meet,
    run: async (origin, call, values) => toCallResult(await runAt(origin, call, values)),
    endTransaction: endTransactionAt,
    endOrigin: (origin) =>
      [...servers.values(), ...retired].forEach((server) => server.endOrigin(origin)),
    onDocument: (document) => {
      documents.offer(document);
    },
    heartbeat: (stream, receiver, beat, isFirst) => ({
      vm: settings.vm,
      incarnation,
      heard: { vms: fleet.heardVms() },
      confirmedBeat: fleet.confirmedBeat(receiver),
      documents: documents.all().map(({ key, revision }) => ({ key, revision })),
      beat,
      isSettled: fleet.isSettled(),
      acting: ownership.acting(),
      isStoreReachable: isStoreReachable(),
      isStrained: fleet.isStrained(),
      spending: spending.report(stream, isFirst),
      isLeaving: fleet.isLeaving(),
      serving: servedHere(),
    }),
  });
  const beat = (): void => links.beat(fleet.nextBeat());
  // Other VMs learn at once which records this one knows: an owner waits for it before it acts.
  documents.onChange(({ key }) => {
    if (key.startsWith(storeKeys.groupPrefix)) setImmediate(beat);
  });
  const gauge = createStrainGauge();
  let gaugeDueMs = nowMs() + STRAIN_SAMPLE_MS;
  const gaugeTimer = setInterval(() => {
    isolation.observe();
    const now = nowMs();
    const latenessMs = now - gaugeDueMs;
    gaugeDueMs = now + STRAIN_SAMPLE_MS;
    // The first seconds of a process are spent compiling, and a suspended VM was not strained.
    if (!fleet.isSettled() || latenessMs > SUSPENDED_MS) return;
    const wasStrained = fleet.isStrained();
    fleet.setStrained(gauge.observe(latenessMs, now));
    if (fleet.isStrained() !== wasStrained) {
      log.info('vm.strain', {
        isStrained: fleet.isStrained(),
        averageLatenessMs: Math.round(gauge.averageMs()),
        groups: servers.size,
      });
    }
  }, STRAIN_SAMPLE_MS);
  const beatTimer = setInterval(() => {
    beat();
    review();
    poll();
  }, BEAT_MS);

  const router = createGroupRouter({
    self: settings.vm,
    log,
    nowMs,
    ownerOf: ownership.servingVm,
    link: fleet.link,
    runHere: (call, values) => runAt(settings.vm, call, values),
    isCutOff: isolation.isLeft,
    endTransactionHere: (_group, transaction) => endTransactionAt(settings.vm, transaction),
  });

  registration = createRegistration(
    store,
    settings.vm,
    { address, dataCentre, incarnation },
    Math.max(settings.minLeaseMs, REGISTRATION_TTL_MS),
    log,
  );
  configurationFollower = createStoreFollower({
    store,
    prefix: decoder.configurationKey,
    waitMs: () => {
      const readers = fleet.storeReaders(true).slice(0, CONFIGURATION_WATCHERS);
      return readers.includes(vm) ? CONFIGURATION_WATCH_MS : LONG_WATCH_MS;
    },
    log,
    onList: (items) => items.forEach((item) => documents.offer(item)),
    onEvents: (events) => events.forEach((event) => 'value' in event && documents.offer(event)),
  });
  const readRegistration = ({ key, value }: StoredItem): [string, VmRegistration] | undefined => {
    if (!key.startsWith(storeKeys.vmPrefix)) return undefined;
    try {
      return [key.slice(storeKeys.vmPrefix.length), JSON.parse(value) as VmRegistration];
    } catch (error) {
      log.warn('vm.unreadable', { key, reason: String(error) });
      return undefined;
    }
  };
  const takeItem = (item: StoredItem): void => {
    if (item.key.startsWith(storeKeys.groupPrefix)) documents.offer(item);
  };
  fleetFollower = createStoreFollower({
    store,
    prefix: storeKeys.root,
    waitMs: () => LONG_WATCH_MS,
    log,
    onList: (items) => {
      items.forEach(takeItem);
      ownership.setListed();
      const found = items.map(readRegistration).filter((entry) => entry !== undefined);
      fleet.registerAll(new Map(found));
      review();
    },
    onEvents: (events) => {
      events.forEach((event) => {
        if ('value' in event) {
          takeItem(event);
          const found = readRegistration(event);
          if (found) fleet.register(...found);
        } else if (event.key.startsWith(storeKeys.vmPrefix)) {
          fleet.unregister(event.key.slice(storeKeys.vmPrefix.length));
        }
      });
      review();
    },
  });

  const isReady = (): boolean =>
    configuration !== undefined && !fleet.isLeaving() && !isolation.isIsolated();

  return {
    isReady,
    openSession: (connection: CallerConnection): CallerSession => {
      const created = createSession({
        connection,
        router,
        log,
        nowMs,
        nextNumber,
        configuration: () => configuration,
        endSession: (session) => {
          fleet.vms().forEach((view) => fleet.link(view.vm)?.endSession(session));
        },
        onStatement: options.onStatement,
        onEnd: () => sessions.delete(created),
      });
      sessions.add(created);
      return created.session;
    },
    sessionCount: () => sessions.size,
    configurationVersion: () => configuration?.version,
    groups: () => servers,
    /** Ends in good order: nothing new, groups to other VMs, what is under way finishes. */
    shutDown: async (): Promise<void> => {
      const startedAtMs = nowMs();
      fleet.leave();
      links.beat(fleet.nextBeat());
      log.info('daemon.stopping', { sessions: sessions.size, groups: servers.size });
      await Promise.all(
        [...servers.keys()].map((group) =>
          ownership
            .handOver(group)
            .catch((error) => log.warn('group.handOverFailed', { group, reason: String(error) })),
        ),
      );
      const elapsedMs = (): number => nowMs() - startedAtMs;
      const isBusy = (): boolean =>
        sessions.size > 0 ||
        [...servers.values(), ...retired].some(
          (server) => server.openTransactions() + server.underWay() > 0,
        );
      let isCut = false;
      while (isBusy() && elapsedMs() < settings.graceMs * END_PART) {
        await new Promise((resolve) => {
          setTimeout(resolve, SHUTDOWN_POLL_MS);
        });
        if (elapsedMs() > BALANCER_NOTICE_MS) sessions.forEach((session) => session.closeIfIdle());
        if (!isCut && elapsedMs() > settings.graceMs * TRANSACTION_PART) {
          isCut = true;
          sessions.forEach((session) => session.endTransaction());
        }
      }
      clearInterval(beatTimer);
      clearInterval(gaugeTimer);
      await registration
        ?.close()
        .catch((error) => log.info('vm.leaseNotEnded', { reason: String(error) }));
      configurationFollower?.close();
      fleetFollower?.close();
      [...servers.values(), ...retired].forEach((server) => server.close());
      sessions.forEach((session) => session.abort());
      fleet.close();
      links.close();
      log.info('daemon.stopped', { tookMs: Math.round(elapsedMs()) });
    },
  };
};

export default createSessionDaemon;
