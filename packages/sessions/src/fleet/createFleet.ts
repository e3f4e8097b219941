import {
  compareDocumentPositions,
  createPeerReporter,
  createPeerLease,
  type DocumentPosition,
  type VmView,
} from '@auburngrade/coordination';
import type {
  FleetDocument,
  Heartbeat,
  Hello,
  VoterAddress,
} from '../generated/auburngrade/session/v1/session';
import createMessageLiveness from '../link/createMessageLiveness';
import createPeerLink from '../link/createPeerLink';
import type PeerLink from '../link/peerLink';
import type EventLog from '../seams/eventLog';
import type Documents from './documents';
import type VmRegistration from './vmRegistration';

/** A stream without heartbeats for this long, four intervals, is reopened. */
const HEARTBEAT_TIMEOUT_MS = 1_000;
/** A peer is reachable this long after its last heartbeat: an interval of 250 ms and 150 ms of transit. */
const REACHABLE_WITHIN_MS = 400;
/** A confirmed heartbeat proves for this long that the confirming VMs do not report the sender silent. */
const PEER_LEASE_MS = 1_000;
/** A peer without a heartbeat for this long is silent. Longer than the peer lease, which thus ends first. */
const HEARD_WITHIN_MS = 1_100;
/** A peer reported silent is confirmed again only after this time, when no VM counts that report any more. */
const SILENCE_REPORT_HOLD_MS = 2_500;
/** A VM that voted for a shorter time cannot tell a silent VM from one that has not connected to it yet. */
const SETTLED_AFTER_MS = 1_500;
/** A silent, unregistered peer still counts among the VMs for this long: most network partitions are shorter. */
const UNREGISTERED_PEER_RETENTION_MS = 30_000;
/** On a VM that no majority confirms it counts longer: the silent ones may be a majority behind a partition. */
const MINORITY_RETENTION_MS = 600_000;
/** A VM that peers mentioned for this long was alive all the while, and counts as long as an unregistered peer. */
const LASTING_MENTION_MS = 2_000;
/** Peers mention a VM that left for a second longer; it counts no more this long after that. */
const BRIEF_MENTION_RETENTION_MS = 1_000;
/** A peer that lacks a document for this long would learn it too late from the store. */
const PUSH_AFTER_MS = 400;
/** Minimum interval between pushes of one document to the same peer. */
const PUSH_INTERVAL_MS = 600;

interface FleetOptions {
  self: Hello;
  documents: Documents;
  log: EventLog;
  nowMs(): number;
  wallMs(): number;
  isStoreReachable(): boolean;
  onRateUsage(vm: string, incarnation: string, spending: Heartbeat['spending']): void;
  onChange(): void;
  /** Opens the stream to another VM; tests pass their own. */
  createLink?: typeof createPeerLink;
}

interface Peer {
  registration: VmRegistration;
  isRegistered: boolean;
  link: PeerLink;
  incarnation: string;
  beat: number;
  heardAtMs: number;
  /** When its registration was last seen or withdrawn. */
  knownAtMs: number;
  /** VMs that it receives heartbeats from. */
  hears: ReadonlySet<string>;
  /** Groups that it serves in place of their unreachable owners. */
  acting: ReadonlySet<string>;
  serving: readonly string[];
  /** When each group was last in `serving`. */
  servedAtMs: Map<string, number>;
  isSettled: boolean;
  isLeaving: boolean;
  isStrained: boolean;
  isStoreReachable: boolean;
  /** Positions of the documents that it knows, by key. */
  positions: ReadonlyMap<string, DocumentPosition>;
  behindSinceMs: Map<string, number>;
  pushedAtMs: Map<string, number>;
}

/** Before every position. */
const NO_POSITION: DocumentPosition = { version: 0, era: 0, revision: 0 };

/** Compares a peer's position with an own one. Peers of an earlier build report revisions alone. */
const comparePeerPosition = (
  { positions }: Pick<Peer, 'positions'>,
  key: string,
  own: DocumentPosition,
): number => {
  const theirs = positions.get(key) ?? NO_POSITION;
  return theirs.era === 0 ? theirs.revision - own.revision : compareDocumentPositions(theirs, own);
};

const hasAtLeast = (peer: Peer, key: string, position: DocumentPosition): boolean =>
  comparePeerPosition(peer, key, position) >= 0;

/**
 * Tracks the other VMs: their registrations, links and heartbeats. A VM is "heard" while its last
 * heartbeat is recent enough, and "silent" after that.
 */
const createFleet = (options: FleetOptions) => {
  const { self, documents, log, nowMs, wallMs, createLink = createPeerLink } = options;
  /** When this VM began to vote; an observer's process may be much older. */
  let votesSinceMs: number | undefined;
  /** Whether the store's registrations and group records were listed by this process. */
  let hasListed = false;
  const peers = new Map<string, Peer>();
  /** VMs that peers hear and this VM does not know: voters that took seats, or lost them, without its knowledge. */
  const mentions = new Map<string, { sinceMs: number; lastAtMs: number }>();
  const peerLease = createPeerLease(PEER_LEASE_MS);
  const silenceTracker = createPeerReporter(SILENCE_REPORT_HOLD_MS);
  // Starts above the numbers of any earlier process of this VM, so that confirmations of those are void.
  let lastHeartbeatNumber = Math.floor(wallMs());
  let isLeaving = false;
  let isStrained = false;

  const isHeard = (peer: Peer): boolean => nowMs() - peer.heardAtMs < HEARD_WITHIN_MS;
  const isReachable = ({ link, heardAtMs }: Peer): boolean =>
    link.isUp() && nowMs() - heardAtMs < REACHABLE_WITHIN_MS;
  const isSettled = (): boolean =>
    votesSinceMs !== undefined && nowMs() - votesSinceMs > SETTLED_AFTER_MS;
  const getHearingState = (vm: string, peer: Peer) =>
    silenceTracker.state(vm, isHeard(peer), isSettled(), nowMs());
  /** VMs that this VM's heartbeats list as heard. */
  const heardVms = (): string[] =>
    [...peers].flatMap(([vm, peer]) => (getHearingState(vm, peer) === 'silent' ? [] : [vm]));
  /**
   * Number of the peer's heartbeat that this VM confirms; 0 for none. A process may lack a record that its
   * predecessor knew, until it has listed the store or the other VMs had time to push the record to it.
   */
  const confirmedBeat = (vm: string): number => {
    const peer = peers.get(vm);
    const isHeardNow = peer !== undefined && getHearingState(vm, peer) === 'heard';
    return isHeardNow && (hasListed || isSettled()) ? peer.beat : 0;
  };
  const readClocks = () => ({ steadyMs: nowMs(), wallMs: wallMs() });

  /** The VMs that majorities are counted over, without this one. */
  const countedVms = (): string[] => [...peers.keys(), ...mentions.keys()];
  const noteMentions = (hears: ReadonlySet<string>): void => {
    const now = nowMs();
    [...hears]
      .filter((vm) => vm !== self.vm && !peers.has(vm))
      .forEach((vm) =>
        mentions.set(vm, { sinceMs: mentions.get(vm)?.sinceMs ?? now, lastAtMs: now }),
      );
  };
  const removeStaleMentions = (lastingRetentionMs: number): void =>
    mentions.forEach(({ sinceMs, lastAtMs }, vm) => {
      const retentionMs =
        lastAtMs - sinceMs >= LASTING_MENTION_MS ? lastingRetentionMs : BRIEF_MENTION_RETENTION_MS;
      if (nowMs() - lastAtMs > retentionMs) mentions.delete(vm);
    });

  /** Pushes the documents that the peer has lacked for at least `PUSH_AFTER_MS`. */
  const pushMissingDocuments = (peer: Peer): void => {
    const now = nowMs();
    documents.all().forEach((document) => {
      const { key, value, version, era, revision } = document;
      if (hasAtLeast(peer, key, document)) {
        peer.behindSinceMs.delete(key);
        return;
      }
      const sinceMs = peer.behindSinceMs.get(key) ?? now;
      peer.behindSinceMs.set(key, sinceMs);
      const isDue = now - (peer.pushedAtMs.get(key) ?? Number.NEGATIVE_INFINITY) > PUSH_INTERVAL_MS;
      if (now - sinceMs < PUSH_AFTER_MS || !isDue) return;
      peer.pushedAtMs.set(key, now);
      const theirs = peer.positions.get(key);
      log.info('document.pushed', { key, version, era, revision, theirs });
      peer.link.sendDocument({ key, value, era, revision });
    });
  };

  const onHeartbeat = (vm: string, heartbeat: Heartbeat): void => {
    const peer = peers.get(vm);
    if (!peer || heartbeat.vm !== vm) return;
    const wasHeard = isHeard(peer);
    const isNewProcess = peer.incarnation !== heartbeat.incarnation;
    const hasBegunLeaving = heartbeat.isLeaving && !peer.isLeaving;
    const acting = new Set(heartbeat.acting);
    const hears = new Set(heartbeat.heard?.vms);
    const hasLostPeer = [...peer.hears].some((other) => !hears.has(other));
    const isActingForMore = [...acting].some((group) => !peer.acting.has(group));
    peer.heardAtMs = nowMs();
    peer.incarnation = heartbeat.incarnation;
    peer.beat = heartbeat.beat;
    peer.hears = hears;
    noteMentions(hears);
    peer.acting = acting;
    peer.serving = heartbeat.serving;
    heartbeat.serving.forEach((group) => peer.servedAtMs.set(group, peer.heardAtMs));
    peer.isSettled = heartbeat.isSettled;
    peer.isLeaving = heartbeat.isLeaving;
    peer.isStrained = heartbeat.isStrained;
    peer.isStoreReachable = heartbeat.isStoreReachable;
    peerLease.recordConfirmation(vm, heartbeat.confirmedBeat);
    options.onRateUsage(vm, heartbeat.incarnation, heartbeat.spending);
    peer.positions = new Map(heartbeat.documents.map((position) => [position.key, position]));
    pushMissingDocuments(peer);
    if (!wasHeard || isNewProcess || hasBegunLeaving || isActingForMore || hasLostPeer)
      options.onChange();
  };

  const openLink = (vm: string, address: string): PeerLink =>
    createLink({
      vm,
      address,
      self,
      log,
      liveness: createMessageLiveness(HEARTBEAT_TIMEOUT_MS),
      nowMs,
      onHeartbeat: (heartbeat) => onHeartbeat(vm, heartbeat),
      onDocument: (document: FleetDocument) => {
        documents.putIfNewer(document);
      },
    });

  const addPeer = (vm: string, registration: VmRegistration, isRegistered: boolean): void => {
    votesSinceMs ??= nowMs();
    if (vm === self.vm) return;
    const existing = peers.get(vm);
    if (existing && existing.registration.address === registration.address) {
      const isNewProcess = existing.registration.incarnation !== registration.incarnation;
      existing.isRegistered ||= isRegistered;
      existing.knownAtMs = nowMs();
      existing.registration = registration;
      if (isNewProcess && !isHeard(existing)) existing.incarnation = registration.incarnation;
      return;
    }
    existing?.link.close();
    mentions.delete(vm);
    log.info('vm.found', { peer: vm, address: registration.address, isRegistered });
    peers.set(vm, {
      registration,
      isRegistered,
      link: openLink(vm, registration.address),
      incarnation: registration.incarnation,
      beat: 0,
      heardAtMs: Number.NEGATIVE_INFINITY,
      knownAtMs: nowMs(),
      hears: new Set(),
      acting: new Set(),
      serving: [],
      servedAtMs: new Map(),
      isSettled: false,
      isLeaving: false,
      isStrained: false,
      isStoreReachable: false,
      positions: new Map(),
      behindSinceMs: new Map(),
      pushedAtMs: new Map(),
    });
  };

  const unregister = (vm: string): void => {
    const peer = peers.get(vm);
    if (!peer?.isRegistered) return;
    peer.isRegistered = false;
    peer.knownAtMs = nowMs();
  };

  /**
   * Whether at least half of the peers confirmed a recent heartbeat, optionally from a number on. False until the
   * registrations are listed: of a few peers that happened to call, a few are half.
   */
  const holdsPeerLease = (sinceHeartbeatNumber?: number): boolean =>
    hasListed && peerLease.isValid(countedVms(), readClocks(), sinceHeartbeatNumber);

  return {
    register: (vm: string, registration: VmRegistration): void => addPeer(vm, registration, true),
    unregister,
    /** Adds a VM that opened a stream to this one; it may not be registered. */
    addFromHello: ({ vm, incarnation, address, dataCentre }: Hello): void =>
      addPeer(vm, { address, dataCentre, incarnation }, false),
    /**
     * Takes the full list of registrations, once the group records of the same list are known; VMs missing from it
     * count as unregistered.
     */
    replaceRegistrations: (registrations: ReadonlyMap<string, VmRegistration>): void => {
      votesSinceMs ??= nowMs();
      hasListed = true;
      registrations.forEach((registration, vm) => addPeer(vm, registration, true));
      [...peers.keys()].filter((vm) => !registrations.has(vm)).forEach(unregister);
    },
    /** Removes peers that are neither registered nor heard; those that announced their shutdown, sooner. */
    removeStalePeers: (): void => {
      const now = nowMs();
      const unregisteredRetentionMs = holdsPeerLease()
        ? UNREGISTERED_PEER_RETENTION_MS
        : MINORITY_RETENTION_MS;
      for (const [vm, peer] of peers) {
        const silentMs = now - Math.max(peer.heardAtMs, peer.knownAtMs);
        const retentionMs = peer.isLeaving ? HEARD_WITHIN_MS : unregisteredRetentionMs;
        if (!peer.isRegistered && !isHeard(peer) && silentMs > retentionMs) {
          log.info('vm.forgotten', { peer: vm });
          peer.link.close();
          peers.delete(vm);
        }
      }
      removeStaleMentions(unregisteredRetentionMs);
    },
    vms: (): VmView[] => [
      {
        vm: self.vm,
        dataCentre: self.dataCentre,
        incarnation: self.incarnation,
        hasRecentHeartbeat: true,
        isSettled: isSettled(),
        isLeaving,
        isStrained,
        isStoreReachable: options.isStoreReachable(),
        hears: new Set(heardVms()),
      },
      ...[...peers].map(([vm, peer]) => ({
        vm,
        dataCentre: peer.registration.dataCentre,
        incarnation: peer.incarnation,
        hasRecentHeartbeat: isHeard(peer),
        isSettled: peer.isSettled,
        isLeaving: peer.isLeaving,
        isStrained: peer.isStrained,
        isStoreReachable: peer.isStoreReachable,
        hears: peer.hears,
      })),
      ...[...mentions.keys()].map((vm) => ({
        vm,
        dataCentre: '',
        incarnation: '',
        hasRecentHeartbeat: false,
        isSettled: false,
        isLeaving: false,
        isStrained: false,
        isStoreReachable: false,
        hears: new Set<string>(),
      })),
    ],
    link: (vm: string): PeerLink | undefined => peers.get(vm)?.link,
    /** Where to reach the VM, `host:port`; undefined for an unknown one. */
    addressOf: (vm: string): string | undefined =>
      vm === self.vm ? self.address : peers.get(vm)?.registration.address,
    /** The VMs that are voters now: those that leave, or are neither registered nor heard, are not. */
    voters: (): VoterAddress[] => {
      const { vm, address, dataCentre } = self;
      const own = isLeaving ? [] : [{ vm, address, dataCentre }];
      const others = [...peers]
        .filter(([, peer]) => !peer.isLeaving && (peer.isRegistered || isHeard(peer)))
        .map(([name, { registration }]) => ({
          vm: name,
          address: registration.address,
          dataCentre: registration.dataCentre,
        }));
      return [...own, ...others].sort((a, b) => (a.vm < b.vm ? -1 : 1));
    },
    isHeard: (vm: string): boolean => {
      const peer = peers.get(vm);
      return vm === self.vm || (peer !== undefined && isHeard(peer));
    },
    /** The heard VM that reports serving the group in place of its lost owner, if any. */
    findActingVm: (group: string): string | undefined =>
      [...peers].find(([, peer]) => isHeard(peer) && peer.acting.has(group))?.[0],
    /** Groups that reachable peers serve. */
    groupsServedByReachablePeers: (): string[] =>
      [...peers.values()].filter(isReachable).flatMap(({ serving }) => serving),
    /** When the peer last reported serving the group, on the steady clock; undefined if it never did. */
    servedAtMs: (vm: string, group: string): number | undefined =>
      peers.get(vm)?.servedAtMs.get(group),
    /** Whether this VM and its reachable peers are a majority; without one the peer lease ends soon. */
    reachesMajority: (): boolean =>
      [...peers.values()].filter(isReachable).length * 2 >= countedVms().length,
    /** Sorted names of the heard VMs that reach the store; includes this VM if `isSelfReachingStore`. */
    vmsReachingStore: (isSelfReachingStore: boolean): string[] =>
      [...peers]
        .filter(([, peer]) => isHeard(peer) && peer.isStoreReachable)
        .map(([vm]) => vm)
        .concat(isSelfReachingStore ? [self.vm] : [])
        .sort(),
    heardVms,
    confirmedBeat,
    /** Returns the number of the next heartbeat and records its sending time for the peer lease. */
    nextHeartbeatNumber: (): number => {
      lastHeartbeatNumber += 1;
      peerLease.recordSent(lastHeartbeatNumber, readClocks());
      return lastHeartbeatNumber;
    },
    lastHeartbeatNumber: () => lastHeartbeatNumber,
    isSettled,
    holdsPeerLease,
    /** What a majority is counted from, for the log: the VMs that count, and those that confirm or know. */
    describeMajority: (key: string, position: DocumentPosition) => ({
      counted: countedVms(),
      confirmedBy: peerLease.listConfirming([...peers.keys()], readClocks()),
      knownBy: [...peers].filter(([, peer]) => hasAtLeast(peer, key, position)).map(([vm]) => vm),
    }),
    /** Whether any peer reported a newer state of the document than the one known here. */
    isNewerKnownElsewhere: (key: string): boolean => {
      const own = documents.get(key) ?? NO_POSITION;
      return [...peers.values()].some((peer) => comparePeerPosition(peer, key, own) > 0);
    },
    /** Whether at least half of the peers, a majority with this VM, reported this or a newer state. */
    isKnownByMajority: (key: string, position: DocumentPosition): boolean => {
      const peersKnowing = [...peers.values()].filter((peer) => hasAtLeast(peer, key, position));
      return hasListed && peersKnowing.length * 2 >= countedVms().length;
    },
    /** Sends a document to all peers without waiting for them to lack it. */
    publish: (document: FleetDocument): void =>
      peers.forEach(({ link }) => link.sendDocument(document)),
    startLeaving: (): void => {
      isLeaving = true;
    },
    isLeaving: () => isLeaving,
    setStrained: (next: boolean): void => {
      isStrained = next;
    },
    isStrained: () => isStrained,
    close: (): void => peers.forEach(({ link }) => link.close()),
  };
};

export default createFleet;
