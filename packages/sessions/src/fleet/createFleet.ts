import type { VmView } from '@auburngrade/coordination';
import type { FleetDocument, Heartbeat } from '../generated/auburngrade/session/v1/session';
import createPeerLink from '../link/createPeerLink';
import type PeerLink from '../link/peerLink';
import type EventLog from '../seams/eventLog';
import type Documents from './documents';
import type VmRegistration from './vmRegistration';

/** A VM that was not heard for this long counts as silent: four heartbeats. */
const HEARD_WITHIN_MS = 1_100;
/** A silent VM that is not registered is forgotten. */
const FORGOTTEN_AFTER_MS = 6_000;
/** A peer that lacks a document this long after we learnt it cannot reach the store in time. */
const PUSH_AFTER_MS = 400;
/** At most this often a document is pushed to the same peer. */
const PUSH_INTERVAL_MS = 600;

interface FleetOptions {
  self: { vm: string; incarnation: string };
  documents: Documents;
  log: EventLog;
  nowMs(): number;
  onSpending(vm: string, incarnation: string, spending: Heartbeat['spending']): void;
  onChange(): void;
}

interface Peer {
  registration: VmRegistration;
  isRegistered: boolean;
  link: PeerLink;
  incarnation: string;
  heardAtMs: number;
  unregisteredAtMs: number;
  hears: ReadonlySet<string>;
  isLeaving: boolean;
  pushedAtMs: Map<string, number>;
}

/** The VMs that this VM knows, the links to them, and what they say of themselves. */
const createFleet = (options: FleetOptions) => {
  const { self, documents, log, nowMs } = options;
  const peers = new Map<string, Peer>();
  let isLeaving = false;

  const isHeard = (peer: Peer): boolean => nowMs() - peer.heardAtMs < HEARD_WITHIN_MS;

  /** Pushes documents that the peer lacks though this VM has known them for a while. */
  const pushMissing = (peer: Peer, known: Heartbeat['documents']): void => {
    const revisions = new Map(known.map(({ key, revision }) => [key, revision]));
    const now = nowMs();
    documents.all().forEach(({ key, revision, value, knownSinceMs }) => {
      const isBehind = (revisions.get(key) ?? 0) < revision && now - knownSinceMs > PUSH_AFTER_MS;
      const isDue = now - (peer.pushedAtMs.get(key) ?? Number.NEGATIVE_INFINITY) > PUSH_INTERVAL_MS;
      if (!isBehind || !isDue) return;
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
    peer.heardAtMs = nowMs();
    peer.incarnation = heartbeat.incarnation;
    peer.hears = new Set(heartbeat.heard);
    const hasLeft = heartbeat.isLeaving && !peer.isLeaving;
    peer.isLeaving = heartbeat.isLeaving;
    options.onSpending(vm, heartbeat.incarnation, heartbeat.spending);
    pushMissing(peer, heartbeat.documents);
    if (!wasHeard || isNew || hasLeft) options.onChange();
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

  const register = (vm: string, registration: VmRegistration): void => {
    if (vm === self.vm) return;
    const known = peers.get(vm);
    if (known && known.registration.address === registration.address) {
      known.isRegistered = true;
      const isNewProcess = known.registration.incarnation !== registration.incarnation;
      known.registration = registration;
      if (isNewProcess && !isHeard(known)) known.incarnation = registration.incarnation;
      return;
    }
    known?.link.close();
    log.info('vm.found', { peer: vm, address: registration.address });
    peers.set(vm, {
      registration,
      isRegistered: true,
      link: dial(vm, registration.address),
      incarnation: registration.incarnation,
      heardAtMs: Number.NEGATIVE_INFINITY,
      unregisteredAtMs: 0,
      hears: new Set(),
      isLeaving: false,
      pushedAtMs: new Map(),
    });
  };

  const unregister = (vm: string): void => {
    const peer = peers.get(vm);
    if (!peer?.isRegistered) return;
    peer.isRegistered = false;
    peer.unregisteredAtMs = nowMs();
  };

  return {
    register,
    unregister,
    /** Takes a whole list of registrations; VMs that are not in it are no longer registered. */
    registerAll: (registrations: ReadonlyMap<string, VmRegistration>): void => {
      registrations.forEach((registration, vm) => register(vm, registration));
      [...peers.keys()].filter((vm) => !registrations.has(vm)).forEach(unregister);
    },
    /** Forgets VMs that are neither registered nor heard. */
    prune: (): void => {
      const now = nowMs();
      for (const [vm, peer] of peers) {
        const silentMs = now - Math.max(peer.heardAtMs, peer.unregisteredAtMs);
        if (!peer.isRegistered && silentMs > FORGOTTEN_AFTER_MS) {
          log.info('vm.forgotten', { peer: vm });
          peer.link.close();
          peers.delete(vm);
        }
      }
    },
    vms: (): VmView[] => [
      {
        vm: self.vm,
        incarnation: self.incarnation,
        isRegistered: true,
        isHeard: true,
        isLeaving,
        hears: new Set([...peers].filter(([, peer]) => isHeard(peer)).map(([vm]) => vm)),
      },
      ...[...peers].map(([vm, peer]) => ({
        vm,
        incarnation: peer.incarnation,
        isRegistered: peer.isRegistered,
        isHeard: isHeard(peer),
        isLeaving: peer.isLeaving,
        hears: peer.hears,
      })),
    ],
    link: (vm: string): PeerLink | undefined => peers.get(vm)?.link,
    heard: (): string[] => [...peers].filter(([, peer]) => isHeard(peer)).map(([vm]) => vm),
    /** Sends a document to all VMs at once. */
    publish: (document: { key: string; revision: number; value: string }): void =>
      peers.forEach(({ link }) => link.sendDocument(document)),
    leave: (): void => {
      isLeaving = true;
    },
    isLeaving: () => isLeaving,
    close: (): void => peers.forEach(({ link }) => link.close()),
  };
};

export default createFleet;
