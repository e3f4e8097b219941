import { createHearing, createPeerLease, type VmView } from '@auburngrade/coordination';
import type { FleetDocument, Heartbeat, Hello } from '../generated/auburngrade/session/v1/session';
import createPeerLink from '../link/createPeerLink';
import type PeerLink from '../link/peerLink';
import type EventLog from '../seams/eventLog';
import type Documents from './documents';
import type VmRegistration from './vmRegistration';

/** A VM that was heard this lately is in reach: a heartbeat, and over half of one for its way. */
const REACHED_WITHIN_MS = 400;
/** How long a heartbeat proves that its receivers do not call the sender silent. */
const PEER_LEASE_MS = 1_000;
/** A VM that was not heard for this long counts as silent: longer than the lease. */
const HEARD_WITHIN_MS = 1_100;
/** A VM that was called silent is confirmed again after this time, longer than others count it. */
const SILENCE_HOLD_MS = 2_500;
/** A process that is younger cannot tell a silent VM from one that it has not met yet. */
const SETTLED_AFTER_MS = 1_500;
/** A silent VM that is not registered counts among the VMs for this long: a cut is shorter. */
const FORGOTTEN_AFTER_MS = 30_000;
/** A peer that lacks a document for this long cannot learn it from the store in time. */
const PUSH_AFTER_MS = 400;
/** At most this often a document is pushed to the same peer. */
const PUSH_INTERVAL_MS = 600;

interface FleetOptions {
  self: Hello;
  documents: Documents;
  log: EventLog;
  nowMs(): number;
  wallMs(): number;
  isStoreReachable(): boolean;
  onSpending(vm: string, incarnation: string, spending: Heartbeat['spending']): void;
  onChange(): void;
}

interface Peer {
  registration: VmRegistration;
  isRegistered: boolean;
  link: PeerLink;
  incarnation: string;
  beat: number;
  heardAtMs: number;
  knownAtMs: number;
  hears: ReadonlySet<string>;
  acting: ReadonlySet<string>;
  serving: readonly string[];
  /** When each group was last among those that it serves. */
  servedAtMs: Map<string, number>;
  isSettled: boolean;
  isLeaving: boolean;
  isStrained: boolean;
  isStoreReachable: boolean;
  revisions: ReadonlyMap<string, number>;
  behindSinceMs: Map<string, number>;
  pushedAtMs: Map<string, number>;
}

/** The VMs that this VM knows, the links to them, and what they say of themselves. */
const createFleet = (options: FleetOptions) => {
  const { self, documents, log, nowMs, wallMs } = options;
  const startedAtMs = nowMs();
  const peers = new Map<string, Peer>();
  const lease = createPeerLease(PEER_LEASE_MS);
  const hearing = createHearing(SILENCE_HOLD_MS);
  // A number that no earlier process of this VM can have used: confirmations of its beats are void.
  let lastBeat = Math.floor(wallMs());
  let isLeaving = false;
  let isStrained = false;

  const isHeard = (peer: Peer): boolean => nowMs() - peer.heardAtMs < HEARD_WITHIN_MS;
  const isReached = ({ link, heardAtMs }: Peer): boolean =>
    link.isUp() && nowMs() - heardAtMs < REACHED_WITHIN_MS;
  const isSettled = (): boolean => nowMs() - startedAtMs > SETTLED_AFTER_MS;
  const stateOf = (vm: string, peer: Peer) =>
    hearing.state(vm, isHeard(peer), isSettled(), nowMs());
  /** The VMs that this one says it hears. */
  const heardVms = (): string[] =>
    [...peers].flatMap(([vm, peer]) => (stateOf(vm, peer) === 'silent' ? [] : [vm]));
  /** The heartbeat of a VM that this one confirms; 0 for none. */
  const confirmedBeat = (vm: string): number => {
    const peer = peers.get(vm);
    return peer && stateOf(vm, peer) === 'heard' ? peer.beat : 0;
  };
  const clocks = () => ({ steadyMs: nowMs(), wallMs: wallMs() });

  /** Pushes documents that the peer has lacked for a while. */
  const pushMissing = (peer: Peer): void => {
    const { revisions } = peer;
    const now = nowMs();
    documents.all().forEach(({ key, revision, value }) => {
      if ((revisions.get(key) ?? 0) >= revision) {
        peer.behindSinceMs.delete(key);
        return;
      }
      const sinceMs = peer.behindSinceMs.get(key) ?? now;
      peer.behindSinceMs.set(key, sinceMs);
      const isDue = now - (peer.pushedAtMs.get(key) ?? Number.NEGATIVE_INFINITY) > PUSH_INTERVAL_MS;
      if (now - sinceMs < PUSH_AFTER_MS || !isDue) return;
      peer.pushedAtMs.set(key, now);
      log.info('document.pushed', { key, revision, theirs: revisions.get(key) ?? 0 });
      peer.link.sendDocument({ key, revision, value });
    });
  };

  const onHeartbeat = (vm: string, heartbeat: Heartbeat): void => {
    const peer = peers.get(vm);
    if (!peer || heartbeat.vm !== vm) return;
    const wasHeard = isHeard(peer);
    const isNew = peer.incarnation !== heartbeat.incarnation;
    const hasLeft = heartbeat.isLeaving && !peer.isLeaving;
    const acting = new Set(heartbeat.acting);
    const hears = new Set(heartbeat.heard?.vms);
    const hearsLess = [...peer.hears].some((other) => !hears.has(other));
    const isActingNew = [...acting].some((group) => !peer.acting.has(group));
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
    lease.confirm(vm, heartbeat.confirmedBeat);
    options.onSpending(vm, heartbeat.incarnation, heartbeat.spending);
    peer.revisions = new Map(heartbeat.documents.map(({ key, revision }) => [key, revision]));
    pushMissing(peer);
    if (!wasHeard || isNew || hasLeft || isActingNew || hearsLess) options.onChange();
  };

  const dial = (vm: string, address: string): PeerLink =>
    createPeerLink({
      vm,
      address,
      self,
      log,
      nowMs,
      onHeartbeat: (heartbeat) => onHeartbeat(vm, heartbeat),
      onDocument: (document: FleetDocument) => {
        documents.offer(document);
      },
    });

  const add = (vm: string, registration: VmRegistration, isRegistered: boolean): void => {
    if (vm === self.vm) return;
    const known = peers.get(vm);
    if (known && known.registration.address === registration.address) {
      const isNewProcess = known.registration.incarnation !== registration.incarnation;
      known.isRegistered ||= isRegistered;
      known.knownAtMs = nowMs();
      known.registration = registration;
      if (isNewProcess && !isHeard(known)) known.incarnation = registration.incarnation;
      return;
    }
    known?.link.close();
    log.info('vm.found', { peer: vm, address: registration.address, isRegistered });
    peers.set(vm, {
      registration,
      isRegistered,
      link: dial(vm, registration.address),
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
      revisions: new Map(),
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

  return {
    register: (vm: string, registration: VmRegistration): void => add(vm, registration, true),
    unregister,
    /** A VM opened a stream to this one. */
    meet: ({ vm, incarnation, address, dataCentre }: Hello): void =>
      add(vm, { address, dataCentre, incarnation }, false),
    /** Takes a whole list of registrations; VMs that are not in it are no longer registered. */
    registerAll: (registrations: ReadonlyMap<string, VmRegistration>): void => {
      registrations.forEach((registration, vm) => add(vm, registration, true));
      [...peers.keys()].filter((vm) => !registrations.has(vm)).forEach(unregister);
    },
    /** Forgets VMs that are neither registered nor heard; one that said that it leaves, at once. */
    prune: (): void => {
      const now = nowMs();
      for (const [vm, peer] of peers) {
        const silentMs = now - Math.max(peer.heardAtMs, peer.knownAtMs);
        const limitMs = peer.isLeaving ? HEARD_WITHIN_MS : FORGOTTEN_AFTER_MS;
        if (!peer.isRegistered && !isHeard(peer) && silentMs > limitMs) {
          log.info('vm.forgotten', { peer: vm });
          peer.link.close();
          peers.delete(vm);
        }
      }
    },
    vms: (): VmView[] => [
      {
        vm: self.vm,
        dataCentre: self.dataCentre,
        incarnation: self.incarnation,
        isHeard: true,
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
        isHeard: isHeard(peer),
        isSettled: peer.isSettled,
        isLeaving: peer.isLeaving,
        isStrained: peer.isStrained,
        isStoreReachable: peer.isStoreReachable,
        hears: peer.hears,
      })),
    ],
    link: (vm: string): PeerLink | undefined => peers.get(vm)?.link,
    isHeard: (vm: string): boolean => {
      const peer = peers.get(vm);
      return vm === self.vm || (peer !== undefined && isHeard(peer));
    },
    /** The VM that serves a group for an owner that is gone, if one says so. */
    actingFor: (group: string): string | undefined =>
      [...peers].find(([, peer]) => isHeard(peer) && peer.acting.has(group))?.[0],
    /** Groups that other VMs serve which this one can reach now. */
    servedElsewhere: (): string[] =>
      [...peers.values()].filter(isReached).flatMap(({ serving }) => serving),
    /** When a VM that is heard last said that it serves a group, on the steady clock; undefined if it never did. */
    servedAtMs: (vm: string, group: string): number | undefined =>
      peers.get(vm)?.servedAtMs.get(group),
    /** Whether half of the other VMs are in reach: without them the lease ends soon. */
    reachesHalf: (): boolean => [...peers.values()].filter(isReached).length * 2 >= peers.size,
    /** VMs that reach the store, by name; this one is among them when it does. */
    storeReaders: (isSelfReader: boolean): string[] =>
      [...peers]
        .filter(([, peer]) => isHeard(peer) && peer.isStoreReachable)
        .map(([vm]) => vm)
        .concat(isSelfReader ? [self.vm] : [])
        .sort(),
    heardVms,
    confirmedBeat,
    /** Numbers the next heartbeat. */
    nextBeat: (): number => {
      lastBeat += 1;
      lease.send(lastBeat, clocks());
      return lastBeat;
    },
    lastBeat: () => lastBeat,
    isSettled,
    /** Whether at least half of the other VMs confirmed a heartbeat since a given one just now. */
    holdsPeerLease: (sinceBeat?: number): boolean =>
      lease.isHeld([...peers.keys()], clocks(), sinceBeat),
    /** Whether a VM said that it knows a newer revision of a document. */
    knowsNewer: (key: string): boolean => {
      const own = documents.get(key)?.revision ?? 0;
      return [...peers.values()].some(({ revisions }) => (revisions.get(key) ?? 0) > own);
    },
    /** Whether at least half of the other VMs said that they know a revision of a document. */
    isKnownByHalf: (key: string, revision: number): boolean => {
      const knowing = [...peers.values()].filter(
        ({ revisions }) => (revisions.get(key) ?? 0) >= revision,
      );
      return knowing.length * 2 >= peers.size;
    },
    /** Sends a document to all VMs at once. */
    publish: (document: { key: string; revision: number; value: string }): void =>
      peers.forEach(({ link }) => link.sendDocument(document)),
    leave: (): void => {
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
