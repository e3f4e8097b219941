import {
  compareDocumentPositions,
  createPeerReporter,
  createPeerLease,
  isMajority,
  type DocumentPosition,
  type VmView,
  type VoterSet,
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
import type KnownDocument from './knownDocument';
import readVoterSet from './readVoterSet';
import storeKeys from './storeKeys';
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
/** A VM of the voter set that is neither registered nor heard leaves it after this time: most partitions are shorter. */
const ABSENT_VOTER_RETENTION_MS = 30_000;
/** A VM that no majority confirms keeps its streams to silent VMs longer: it may be behind a partition. */
const MINORITY_RETENTION_MS = 600_000;
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
  isEvacuated(dataCentre: string): boolean;
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
  /** Since when each VM of the voter set has been neither registered nor heard. */
  const absentSinceMs = new Map<string, number>();
  /** Whether a majority of the other voters told this process all that they know. */
  let hasCaughtUp = false;
  let parsedVoterSet: { document: KnownDocument; set: VoterSet | undefined } | undefined;
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
  const readClocks = () => ({ steadyMs: nowMs(), wallMs: wallMs() });

  /** The recorded set of voters as known here; undefined before the first one. */
  const voterSet = (): VoterSet | undefined => {
    const document = documents.get(storeKeys.voterSet);
    if (!document) return undefined;
    if (parsedVoterSet?.document !== document)
      parsedVoterSet = { document, set: readVoterSet(document.value) };
    return parsedVoterSet.set;
  };
  const votersNow = (): readonly string[] => voterSet()?.vms ?? [];
  const isVoter = (vm: string): boolean => votersNow().includes(vm);
  /** The voters but this VM that confirmed a recent heartbeat and know no later set of voters. */
  const listConfirming = (sinceHeartbeatNumber?: number): string[] => {
    const known = documents.get(storeKeys.voterSet) ?? NO_POSITION;
    const others = votersNow().filter((vm) => {
      const peer = peers.get(vm);
      return peer !== undefined && comparePeerPosition(peer, storeKeys.voterSet, known) <= 0;
    });
    return peerLease.listConfirming(others, readClocks(), sinceHeartbeatNumber);
  };
  const knowsAllOf = ({ positions }: Peer): boolean =>
    [...positions].every(([key, position]) => {
      const own = documents.get(key);
      return own !== undefined && compareDocumentPositions(own, position) >= 0;
    });
  /**
   * A process that could not list the store may lack what its predecessor knew, until more than half of the voters,
   * itself not counted, have told all that they know.
   */
  const updateCaughtUp = (): void => {
    if (hasListed || hasCaughtUp) return;
    const telling = listConfirming().filter((vm) => {
      const peer = peers.get(vm);
      return peer !== undefined && knowsAllOf(peer);
    });
    hasCaughtUp = isMajority(votersNow(), telling);
    if (hasCaughtUp) log.info('voters.caughtUp', { version: voterSet()?.version, telling });
  };
  /**
   * Number of the peer's heartbeat that this VM confirms; 0 for none. A process that may lack a record that its
   * predecessor knew confirms nobody.
   */
  const confirmedBeat = (vm: string): number => {
    const peer = peers.get(vm);
    const isHeardNow = peer !== undefined && getHearingState(vm, peer) === 'heard';
    return isHeardNow && (hasListed || hasCaughtUp) ? peer.beat : 0;
  };

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
    updateCaughtUp();
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
   * Whether a majority of the voters, with this VM if it is one, confirmed a recent heartbeat, optionally from a
   * number on. False until this process has listed the store.
   */
  const holdsPeerLease = (sinceHeartbeatNumber?: number): boolean =>
    hasListed && isMajority(votersNow(), [self.vm, ...listConfirming(sinceHeartbeatNumber)]);

  const updateAbsences = (): void => {
    const voters = votersNow();
    [...absentSinceMs.keys()]
      .filter((vm) => !voters.includes(vm))
      .forEach((vm) => absentSinceMs.delete(vm));
    voters.forEach((vm) => {
      const peer = peers.get(vm);
      const isPresent =
        vm === self.vm || (peer !== undefined && (peer.isRegistered || isHeard(peer)));
      if (isPresent) absentSinceMs.delete(vm);
      else if (!absentSinceMs.has(vm)) absentSinceMs.set(vm, nowMs());
    });
  };
  const listAbsentVoters = (retentionMs: number): string[] =>
    votersNow().filter((vm) => nowMs() - (absentSinceMs.get(vm) ?? nowMs()) > retentionMs);
  /** VMs of the voter set that this process has never met: they count, and do not vote. */
  const listUnknownVoters = (): string[] =>
    votersNow().filter((vm) => vm !== self.vm && !peers.has(vm));

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
      updateAbsences();
      const now = nowMs();
      const unregisteredRetentionMs = holdsPeerLease()
        ? ABSENT_VOTER_RETENTION_MS
        : MINORITY_RETENTION_MS;
      for (const [vm, peer] of peers) {
        const silentMs = now - Math.max(peer.heardAtMs, peer.knownAtMs);
        const retentionMs = peer.isLeaving ? HEARD_WITHIN_MS : unregisteredRetentionMs;
        const isStale = !peer.isRegistered && !isHeard(peer) && silentMs > retentionMs;
        if (isStale && !isVoter(vm)) {
          log.info('vm.forgotten', { peer: vm });
          peer.link.close();
          peers.delete(vm);
        }
      }
    },
    voterSet,
    /** VMs that take part in votes and are not in the voter set. */
    listJoiningVoters: (): string[] => {
      const confirming = peerLease.listConfirming([...peers.keys()], readClocks());
      const own = votesSinceMs !== undefined && hasListed && !isLeaving ? [self.vm] : [];
      return [
        ...own,
        ...confirming.filter((vm) => {
          const peer = peers.get(vm);
          return peer !== undefined && peer.isRegistered && isHeard(peer) && !peer.isLeaving;
        }),
      ].filter((vm) => !isVoter(vm));
    },
    /** VMs of the voter set that announced to leave, or have been neither registered nor heard for long. */
    listLeavingVoters: (): string[] => [
      ...votersNow().filter((vm) => peers.get(vm)?.isLeaving),
      ...listAbsentVoters(ABSENT_VOTER_RETENTION_MS),
    ],
    /** VMs of the voter set that have been neither registered nor heard for longer than any partition lasts. */
    listLostVoters: (): string[] => listAbsentVoters(MINORITY_RETENTION_MS),
    /** The VMs of a first voter set: this one, and those that are registered or heard. */
    listFirstVoters: (): string[] => [
      self.vm,
      ...[...peers]
        .filter(([, peer]) => !peer.isLeaving && (peer.isRegistered || isHeard(peer)))
        .map(([vm]) => vm),
    ],
    vms: (): VmView[] => [
      {
        vm: self.vm,
        dataCentre: self.dataCentre,
        isVoter: isVoter(self.vm),
        incarnation: self.incarnation,
        hasRecentHeartbeat: true,
        isSettled: isSettled(),
        isLeaving,
        isStrained,
        isInEvacuatedDataCentre: options.isEvacuated(self.dataCentre),
        isStoreReachable: options.isStoreReachable(),
        hears: new Set(heardVms()),
      },
      ...[...peers].map(([vm, peer]) => ({
        vm,
        dataCentre: peer.registration.dataCentre,
        isVoter: isVoter(vm),
        incarnation: peer.incarnation,
        hasRecentHeartbeat: isHeard(peer),
        isSettled: peer.isSettled,
        isLeaving: peer.isLeaving,
        isStrained: peer.isStrained,
        isInEvacuatedDataCentre: options.isEvacuated(peer.registration.dataCentre),
        isStoreReachable: peer.isStoreReachable,
        hears: peer.hears,
      })),
      ...listUnknownVoters().map((vm) => ({
        vm,
        dataCentre: '',
        isVoter: true,
        incarnation: '',
        hasRecentHeartbeat: false,
        isSettled: false,
        isLeaving: false,
        isStrained: false,
        isInEvacuatedDataCentre: false,
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
    reachesMajority: (): boolean => {
      const reachable = [...peers].filter(([, peer]) => isReachable(peer)).map(([vm]) => vm);
      return isMajority(votersNow(), [self.vm, ...reachable]);
    },
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
      voters: votersNow(),
      voterSetVersion: voterSet()?.version,
      confirmedBy: listConfirming(),
      knownBy: [...peers].filter(([, peer]) => hasAtLeast(peer, key, position)).map(([vm]) => vm),
    }),
    /** Whether any peer reported a newer state of the document than the one known here. */
    isNewerKnownElsewhere: (key: string): boolean => {
      const own = documents.get(key) ?? NO_POSITION;
      return [...peers.values()].some((peer) => comparePeerPosition(peer, key, own) > 0);
    },
    /** Whether a majority of the voters, with this VM if it is one, reported this or a newer state. */
    isKnownByMajority: (key: string, position: DocumentPosition): boolean => {
      const knowing = [...peers]
        .filter(([, peer]) => hasAtLeast(peer, key, position))
        .map(([vm]) => vm);
      return hasListed && isMajority(votersNow(), [self.vm, ...knowing]);
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
