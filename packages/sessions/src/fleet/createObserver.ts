import { createSourceFailback, rankVoters } from '@auburngrade/coordination';
import type { FleetState, Hello, VoterAddress } from '../generated/auburngrade/session/v1/session';
import createMessageLiveness from '../link/createMessageLiveness';
import createPeerLink from '../link/createPeerLink';
import createPingLiveness from '../link/createPingLiveness';
import type PeerLink from '../link/peerLink';
import type EventLog from '../seams/eventLog';
import type Documents from './documents';

/** A relay without a state for this long, three of its intervals, is left. */
const RELAY_TIMEOUT_MS = 1_500;
/** Time limit for the first state of a new relay. */
const FIRST_STATE_TIMEOUT_MS = 700;
/** A relay that failed is not tried again for this long while there are others. */
const FAILED_RELAY_HOLD_MS = 3_000;
const FAILBACK_DELAY_MS = 5_000;

interface ObserverOptions {
  self: Hello;
  documents: Documents;
  log: EventLog;
  nowMs(): number;
}

interface Relay {
  vm: string;
  link: PeerLink;
  chosenAtMs: number;
  stateAtMs: number | undefined;
}

/**
 * Follows the fleet on a VM that is no voter. It subscribes to one voter, the relay, for the configuration
 * and for the VM that serves each group, and opens a stream to such a VM when a statement needs it.
 */
const createObserver = (options: ObserverOptions) => {
  const { self, documents, log, nowMs } = options;
  const callLinks = new Map<string, { address: string; link: PeerLink }>();
  const failedAtMs = new Map<string, number>();
  const failback = createSourceFailback(FAILBACK_DELAY_MS);
  /** Set below: a relay that leaves is replaced at once. */
  const hooks = { updateRelay: (): void => undefined };
  let voters: readonly VoterAddress[] = [];
  let routes = new Map<string, FleetState['routes'][number]>();
  let vacantDataCentres: readonly string[] = [];
  let isRelayReachingStore = false;
  let relay: Relay | undefined;
  let isClosed = false;

  const isConnected = (): boolean =>
    relay?.stateAtMs !== undefined && nowMs() - relay.stateAtMs < RELAY_TIMEOUT_MS;

  const dropRelay = (reason: string): void => {
    if (!relay) return;
    log.info('relay.left', { relay: relay.vm, reason });
    relay.link.close();
    relay = undefined;
  };

  const onFleetState = (state: FleetState, source: Relay): void => {
    if (relay !== source) return;
    if (source.stateAtMs === undefined) log.info('relay.joined', { relay: source.vm });
    relay.stateAtMs = nowMs();
    isRelayReachingStore = state.isStoreReachable;
    if (state.isFull) {
      voters = state.voters.filter(({ vm }) => vm !== self.vm);
      vacantDataCentres = state.vacantDataCentres;
      routes = new Map(state.routes.map((route) => [route.group, route]));
    }
    if (state.isLeaving) {
      failedAtMs.set(source.vm, nowMs());
      dropRelay('leaving');
      hooks.updateRelay();
    }
  };

  const joinRelay = ({ vm, address }: VoterAddress): void => {
    const joined: Relay = {
      vm,
      chosenAtMs: nowMs(),
      stateAtMs: undefined,
      link: createPeerLink({
        vm,
        address,
        self: { ...self, isObserver: true, isSubscriber: true },
        log,
        liveness: createMessageLiveness(RELAY_TIMEOUT_MS),
        nowMs,
        onDocument: (document) => {
          documents.putIfNewer(document);
        },
        onFleetState: (state) => onFleetState(state, joined),
      }),
    };
    relay = joined;
  };

  const isRelayLost = ({ chosenAtMs, stateAtMs, link }: Relay): boolean =>
    stateAtMs === undefined
      ? nowMs() - chosenAtMs > FIRST_STATE_TIMEOUT_MS
      : !link.isUp() || nowMs() - stateAtMs > RELAY_TIMEOUT_MS;

  /** The voters in order of preference; those that failed recently come last. */
  const rankCandidates = (): string[] => {
    const ranked = rankVoters(self.vm, self.dataCentre, voters);
    const hasFailed = (vm: string): boolean =>
      nowMs() - (failedAtMs.get(vm) ?? Number.NEGATIVE_INFINITY) < FAILED_RELAY_HOLD_MS;
    return [...ranked.filter((vm) => !hasFailed(vm)), ...ranked.filter(hasFailed)];
  };

  const updateRelay = (): void => {
    if (isClosed) return;
    if (relay && isRelayLost(relay)) {
      failedAtMs.set(relay.vm, nowMs());
      dropRelay('silent');
    }
    const [best] = rankCandidates();
    if (relay && failback.isDue(relay.vm, best, nowMs())) dropRelay('better voter');
    const next = relay ? undefined : voters.find(({ vm }) => vm === best);
    if (next) joinRelay(next);
  };
  hooks.updateRelay = updateRelay;

  const getLink = (vm: string): PeerLink | undefined => {
    const address =
      [...routes.values()].find((route) => route.vm === vm)?.address ??
      voters.find((voter) => voter.vm === vm)?.address;
    const known = callLinks.get(vm);
    if (known && (address === undefined || known.address === address)) {
      known.link.open();
      return known.link;
    }
    if (address === undefined || address === '') return undefined;
    known?.link.close();
    const link = createPeerLink({
      vm,
      address,
      self: { ...self, isObserver: true },
      log,
      liveness: createPingLiveness(),
      nowMs,
    });
    callLinks.set(vm, { address, link });
    return link;
  };

  return {
    /** Whether a relay told the state of the fleet lately. */
    isConnected,
    /** Whether the relay, if any, knows what the store has. */
    isRelayReachingStore: (): boolean => isConnected() && isRelayReachingStore,
    /** Takes voters as listed in the store; a relay's later state replaces them. */
    setVoters: (listed: readonly VoterAddress[]): void => {
      // This VM itself may be listed from before a restart.
      if (!isConnected()) voters = listed.filter(({ vm }) => vm !== self.vm);
    },
    voters: () => voters,
    /** Data centres with a vacant voter seat; undefined while no relay tells. */
    vacantDataCentres: () => (isConnected() ? vacantDataCentres : undefined),
    /** The VM that serves the group as far as known. */
    findServingVm: (group: string): string | undefined => routes.get(group)?.vm,
    /** Groups that are served by VMs that the relay reaches. */
    servedGroups: (): string[] =>
      isConnected()
        ? [...routes.values()].filter(({ isServed }) => isServed).map(({ group }) => group)
        : [],
    /** Stream to the VM for calls; opened when needed, so it may not be up yet. */
    link: getLink,
    /** Stream to the VM that is open already. */
    openLink: (vm: string): PeerLink | undefined => {
      const link = callLinks.get(vm)?.link;
      return link?.isUp() ? link : undefined;
    },
    endSession: (session: number): void =>
      callLinks.forEach(({ link }) => link.endSession(session)),
    /** Call periodically: chooses another relay when the present one is lost. */
    updateRelay,
    /** Ends the subscription, as this VM has become a voter; streams with calls stay. */
    unsubscribe: (): void => {
      isClosed = true;
      dropRelay('voter now');
    },
    close: (): void => {
      isClosed = true;
      dropRelay('closed');
      callLinks.forEach(({ link }) => link.close());
    },
  };
};

export default createObserver;
