import createDocuments from '../fleet/createDocuments';
import createFleet from '../fleet/createFleet';
import createOwnership from '../fleet/createOwnership';
import createVoterChanges from '../fleet/createVoterChanges';
import readDocumentOrigin from '../fleet/readDocumentOrigin';
import readGroupRecord from '../fleet/readGroupRecord';
import storeKeys from '../fleet/storeKeys';
import type VmRegistration from '../fleet/vmRegistration';
import type { Heartbeat } from '../generated/auburngrade/session/v1/session';
import type createPeerLink from '../link/createPeerLink';
import type MetadataStore from '../seams/metadataStore';
import StoreError from '../seams/storeError';
import createFakeStore from './createFakeStore';

const STEP_MS = 50;
const STEPS_PER_BEAT = 5;
const REGISTRATION_TTL_MS = 4_000;
const MAX_TRANSIT_MS = 300;
const GROUP = 'lots';

type LinkOptions = Parameters<typeof createPeerLink>[0];

interface Link {
  from: Voter;
  options: LinkOptions;
}

interface Voter {
  vm: string;
  incarnation: string;
  documents: ReturnType<typeof createDocuments>;
  fleet: ReturnType<typeof createFleet>;
  ownership: ReturnType<typeof createOwnership>;
  voterChanges: ReturnType<typeof createVoterChanges>;
  isVoting: boolean;
  isBeatDue: boolean;
}

/**
 * Voters of one group, each with its real fleet and ownership, on a clock, a network and a store that the test
 * drives. Messages are delayed at random; a stream delivers in order.
 */
const createFakeVoters = (random: () => number) => {
  const clock = { ms: 100_000 };
  const nowMs = (): number => clock.ms;
  const log = { info: () => undefined, warn: () => undefined };
  const fake = createFakeStore();
  const voters = new Map<string, Voter>();
  const registrations = new Map<string, VmRegistration & { endsAtMs: number }>();
  const links = new Set<Link>();
  const lastBeats = new Map<Link, number>();
  /** VMs that have listed the store. */
  const listed = new Set<Voter>();
  const inFlight = new Set<{ dueMs: number; run(): void }>();
  const turnedAway = new Set<string>();
  const cuts = new Set<string>();
  const cutKey = (a: string, b: string): string => [a, b].sort().join();
  const isCut = (a: string, b: string): boolean => cuts.has(cutKey(a, b));
  const isCurrent = (voter: Voter): boolean => voters.get(voter.vm) === voter;

  const send = (from: string, to: string, run: () => void): void => {
    if (!isCut(from, to)) inFlight.add({ dueMs: nowMs() + random() * MAX_TRANSIT_MS, run });
  };

  const openLink = (from: Voter, options: LinkOptions): ReturnType<typeof createPeerLink> => {
    const link: Link = { from, options };
    links.add(link);
    return {
      isUp: () => true,
      open: () => undefined,
      call: () => Promise.reject(new Error('no calls here')),
      endTransaction: () => undefined,
      endSession: () => undefined,
      sendDocument: (document) =>
        send(from.vm, options.vm, () => voters.get(options.vm)?.documents.putIfNewer(document)),
      close: () => {
        links.delete(link);
      },
    };
  };

  const createStoreOf = (vm: string): MetadataStore =>
    new Proxy(fake.store, {
      get: (target, name, receiver) =>
        turnedAway.has(vm) && name !== 'era' && name !== 'onEraChange'
          ? () => Promise.reject(new StoreError('notRun', 'turned away'))
          : Reflect.get(target, name, receiver),
    });

  /** Starts a process, which does not vote yet. */
  const start = (vm: string): Voter => {
    const incarnation = `${vm}-${nowMs()}`;
    const self = { vm, incarnation, address: vm, dataCentre: vm };
    const documents = createDocuments({ nowMs, log, readOrigin: readDocumentOrigin });
    const voter = {
      vm,
      incarnation,
      documents,
      isVoting: false,
      isBeatDue: false,
    } as Voter;
    documents.onChange(() => {
      voter.isBeatDue = true;
    });
    voter.fleet = createFleet({
      self: { ...self, isObserver: false, isSubscriber: false },
      documents,
      log,
      nowMs,
      wallMs: nowMs,
      isStoreReachable: () => !turnedAway.has(vm),
      isEvacuated: () => false,
      onRateUsage: () => undefined,
      onChange: () => undefined,
      createLink: (options) => openLink(voter, options),
    });
    voter.ownership = createOwnership({
      self,
      store: createStoreOf(vm),
      documents,
      fleet: voter.fleet,
      log,
      nowMs,
      wallMs: nowMs,
      primaryDataCentre: () => undefined,
      primaryPhase: () => 'inService',
      isReplacingPrimary: () => false,
      isStoreViewCurrent: () => listed.has(voter) && !turnedAway.has(vm),
    });
    voter.voterChanges = createVoterChanges({
      self,
      store: createStoreOf(vm),
      documents,
      fleet: voter.fleet,
      log,
      nowMs,
      isStoreViewCurrent: () => listed.has(voter) && !turnedAway.has(vm),
    });
    voters.set(vm, voter);
    return voter;
  };

  const stop = (vm: string): void => {
    const voter = voters.get(vm);
    voters.delete(vm);
    voter?.fleet.close();
  };

  const beat = (voter: Voter): void => {
    const { vm, incarnation, fleet, ownership, documents } = voter;
    const number = fleet.nextHeartbeatNumber();
    [...links]
      .filter(({ from, options }) => options.vm === vm && isCurrent(from) && !isCut(vm, from.vm))
      .forEach((link) => {
        const { self } = link.options;
        fleet.addFromHello(self);
        const heartbeat: Heartbeat = {
          vm,
          incarnation,
          heard: { vms: fleet.heardVms() },
          confirmedBeat: fleet.confirmedBeat(self.vm),
          documents: documents
            .all()
            .map(({ key, version, era, revision }) => ({ key, version, era, revision })),
          spending: [],
          isLeaving: false,
          beat: number,
          isSettled: fleet.isSettled(),
          acting: ownership.acting(),
          isStoreReachable: !turnedAway.has(vm),
          isStrained: false,
          serving: ownership.isAuthoritative(GROUP) ? [GROUP] : [],
        };
        send(vm, self.vm, () => {
          if ((lastBeats.get(link) ?? 0) >= number || !links.has(link)) return;
          lastBeats.set(link, number);
          link.options.onHeartbeat?.(heartbeat);
        });
      });
  };

  /** Registers the VM again and lists the store, if it answers. */
  const useStore = async (voter: Voter): Promise<void> => {
    const { vm, incarnation, documents, fleet, ownership } = voter;
    if (turnedAway.has(vm)) return;
    const endsAtMs = nowMs() + REGISTRATION_TTL_MS;
    registrations.set(vm, { address: vm, dataCentre: vm, incarnation, endsAtMs });
    const { items } = await fake.store.list(storeKeys.root);
    items.forEach((item) => documents.putIfNewer(item));
    ownership.markRecordsListed();
    listed.add(voter);
    fleet.replaceRegistrations(new Map(registrations));
    if (ownership.needsStoreConfirmation()) await ownership.refreshRecords();
  };

  let steps = 0;
  const step = async (): Promise<void> => {
    clock.ms += STEP_MS;
    steps += 1;
    [...inFlight]
      .filter(({ dueMs }) => dueMs <= nowMs())
      .forEach((message) => {
        inFlight.delete(message);
        message.run();
      });
    registrations.forEach(({ endsAtMs }, vm) => {
      if (endsAtMs <= nowMs()) registrations.delete(vm);
    });
    const isBeatDue = steps % STEPS_PER_BEAT === 0;
    for (const voter of [...voters.values()].filter(({ isVoting }) => isVoting)) {
      if (isBeatDue) await useStore(voter);
      if (isBeatDue || voter.isBeatDue) beat(voter);
      voter.isBeatDue = false;
      if (isBeatDue) {
        voter.ownership.reconcile([GROUP]);
        voter.fleet.removeStalePeers();
        voter.voterChanges.update();
      }
    }
    await new Promise(setImmediate);
  };

  return {
    nowMs,
    voters,
    registrations,
    turnedAway,
    start,
    stop,
    /** Makes a VM vote: one with the store registers with its next beat. */
    startVoting: (vm: string): void => {
      const voter = voters.get(vm) ?? start(vm);
      voter.isVoting = true;
    },
    /** Cuts each pair of VMs that `isSplit` names; heals all others. */
    cut: (isSplit: (a: string, b: string) => boolean): void => {
      cuts.clear();
      const names = [...voters.keys()];
      names.forEach((a, index) =>
        names
          .slice(index + 1)
          .filter((b) => isSplit(a, b))
          .forEach((b) => cuts.add(cutKey(a, b))),
      );
    },
    run: async (ms: number, check: () => void = () => undefined): Promise<void> => {
      const endMs = nowMs() + ms;
      while (nowMs() < endMs) {
        await step();
        check();
      }
    },
    /** The VMs that may serve the group, with the record's revision that each believes. */
    certain: (): { vm: string; revision: number }[] =>
      [...voters.values()]
        .filter(({ isVoting, ownership }) => isVoting && ownership.isAuthoritative(GROUP))
        .map(({ vm, documents }) => ({
          vm,
          revision: documents.get(storeKeys.groupPrefix + GROUP)?.revision ?? 0,
        })),
    /** The VMs that may replace the group's primary. */
    replacing: (): string[] =>
      [...voters.values()]
        .filter(({ isVoting, ownership }) => isVoting && ownership.mayReplacePrimary(GROUP))
        .map(({ vm }) => vm),
    ownerOf: (): string =>
      readGroupRecord(fake.read(storeKeys.groupPrefix + GROUP)?.value ?? '')?.owner ?? '',
  };
};

export default createFakeVoters;
