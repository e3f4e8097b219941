import { chooseOwner, isIsolated, isOwnerGone } from '@auburngrade/coordination';
import type GroupRecord from '../group/groupRecord';
import type EventLog from '../seams/eventLog';
import type MetadataStore from '../seams/metadataStore';
import type Documents from './documents';
import type Fleet from './fleet';
import readGroupRecord from './readGroupRecord';
import storeKeys from './storeKeys';

/** How long an owner trusts that no other VM replaced a primary, since it last read its record. */
const BELIEF_MS = 8_000;
/** A new owner waits this much longer than the belief of the owner before may last. */
const BELIEF_RESERVE_MS = 500;

interface OwnershipOptions {
  self: { vm: string; incarnation: string };
  store: MetadataStore;
  documents: Documents;
  fleet: Fleet;
  log: EventLog;
  nowMs(): number;
  /** Time of day in ms: unlike the steady clock it counts the time for which a VM was suspended. */
  wallMs(): number;
}

/** Decides and records which VM owns which group. */
const createOwnership = (options: OwnershipOptions) => {
  const { self, store, documents, fleet, log, nowMs, wallMs } = options;
  const claiming = new Set<string>();
  const replaceFromMs = new Map<string, number>();
  const predecessors = new Map<string, { vm: string; incarnation: string }>();
  let confirmedAtMs = { steady: Number.NEGATIVE_INFINITY, wall: 0 };

  const keyOf = (group: string): string => storeKeys.groupPrefix + group;
  const recordOf = (group: string): GroupRecord | undefined => {
    const document = documents.get(keyOf(group));
    return document && readGroupRecord(document.value);
  };
  const isMine = (group: string): boolean => {
    const record = recordOf(group);
    return record?.owner === self.vm && record.incarnation === self.incarnation;
  };

  const confirm = (atMs: { steady: number; wall: number }): void => {
    confirmedAtMs = atMs;
  };
  const readClocks = () => ({ steady: nowMs(), wall: wallMs() });

  const isCertain = (): boolean => {
    const elapsedMs = Math.max(nowMs() - confirmedAtMs.steady, wallMs() - confirmedAtMs.wall);
    return elapsedMs < BELIEF_MS;
  };

  const write = async (group: string, next: GroupRecord): Promise<boolean> => {
    const key = keyOf(group);
    const value = JSON.stringify(next);
    const expected = documents.get(key)?.revision ?? 0;
    const at = readClocks();
    const outcome = await store.commit({
      expected: [{ key, revision: expected }],
      puts: [{ key, value }],
    });
    if (outcome.kind === 'committed') {
      const document = { key, revision: outcome.revision, value };
      documents.offer(document);
      fleet.publish(document);
      confirm(at);
      return true;
    }
    const item = await store.get(key);
    if (item) documents.offer(item);
    return false;
  };

  const claim = async (group: string, record: GroupRecord | undefined): Promise<void> => {
    const isClaimed = await write(group, {
      owner: self.vm,
      incarnation: self.incarnation,
      primary: record?.primary ?? '',
      fence: record?.fence ?? 0,
      isHandedOver: false,
    });
    log.info('group.claimed', { group, outcome: isClaimed, before: record?.owner });
    if (!isClaimed) return;
    const isFree = !record || record.owner === self.vm;
    replaceFromMs.set(group, nowMs() + (isFree ? 0 : BELIEF_MS + BELIEF_RESERVE_MS));
    if (record) predecessors.set(group, { vm: record.owner, incarnation: record.incarnation });
  };

  /** The owner before has ended for certain once its VM runs another process. */
  const forgetEndedPredecessors = (): void => {
    const vms = new Map(fleet.vms().map((view) => [view.vm, view]));
    predecessors.forEach((before, group) => {
      const view = vms.get(before.vm);
      if (!view || view.incarnation === before.incarnation) return;
      log.info('group.predecessorEnded', { group, before: before.vm });
      predecessors.delete(group);
      replaceFromMs.set(group, nowMs());
    });
  };

  return {
    recordOf,
    isMine,
    isCertain,
    /** Whether no earlier owner of the group can still believe in another primary. */
    mayReplacePrimary: (group: string): boolean => {
      const record = recordOf(group);
      const fromMs = record?.isHandedOver ? 0 : (replaceFromMs.get(group) ?? 0);
      return isMine(group) && isCertain() && nowMs() >= fromMs && !isIsolated(self.vm, fleet.vms());
    },
    /** Records the endpoint that becomes the primary. */
    recordPrimary: async (group: string, primary: string, fence: number): Promise<boolean> => {
      const record = recordOf(group);
      if (!record || !isMine(group)) return false;
      return write(group, { ...record, primary, fence });
    },
    /** Claims groups without an owner that this VM should own. */
    review: (groups: Iterable<string>): void => {
      forgetEndedPredecessors();
      const vms = fleet.vms();
      if (fleet.isLeaving() || isIsolated(self.vm, vms)) return;
      const names = [...groups];
      const counts = new Map<string, number>();
      const orphans = names.filter((group) => {
        const record = recordOf(group);
        if (!record || isOwnerGone({ ...record, vm: record.owner }, self.vm, vms)) return true;
        counts.set(record.owner, (counts.get(record.owner) ?? 0) + 1);
        return false;
      });
      orphans.sort().forEach((group) => {
        const owner = chooseOwner(group, vms, counts);
        if (owner === undefined) return;
        counts.set(owner, (counts.get(owner) ?? 0) + 1);
        if (owner !== self.vm || claiming.has(group)) return;
        claiming.add(group);
        claim(group, recordOf(group))
          .catch((error) => log.warn('group.claimFailed', { group, reason: String(error) }))
          .finally(() => claiming.delete(group));
      });
    },
    /** Reads the records anew: as long as they name this VM, no other can have replaced a primary. */
    refresh: async (): Promise<void> => {
      const at = readClocks();
      const { items } = await store.list(storeKeys.groupPrefix);
      items.forEach((item) => documents.offer(item));
      confirm(at);
    },
    /** Gives a group to another VM, which may act at once. */
    handOver: async (group: string): Promise<void> => {
      const record = recordOf(group);
      const others = fleet.vms().filter(({ vm }) => vm !== self.vm);
      const counts = new Map<string, number>();
      documents.all().forEach(({ value }) => {
        const owner = readGroupRecord(value)?.owner;
        if (owner !== undefined) counts.set(owner, (counts.get(owner) ?? 0) + 1);
      });
      const successor = chooseOwner(group, others, counts);
      const view = others.find(({ vm }) => vm === successor);
      if (!record || !view) return;
      const { incarnation } = view;
      const next = { ...record, owner: view.vm, incarnation, isHandedOver: true };
      const outcome = await write(group, next);
      log.info('group.handedOver', { group, successor, outcome });
    },
  };
};

export default createOwnership;
