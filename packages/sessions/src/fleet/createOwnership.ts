import {
  chooseOwner,
  countByDataCentre,
  isOwnerGone,
  type VmView,
} from '@auburngrade/coordination';
import type GroupRecord from '../group/groupRecord';
import type EventLog from '../seams/eventLog';
import type MetadataStore from '../seams/metadataStore';
import type Documents from './documents';
import type Fleet from './fleet';
import readGroupRecord from './readGroupRecord';
import storeKeys from './storeKeys';

/** How long an owner that lacks the other VMs' confirmations trusts what it read in the store. */
const STORE_BELIEF_MS = 1_200;
/** A new owner waits this long before it replaces a primary: the belief of the one before, and a reserve. */
const REPLACE_WAIT_MS = 1_600;
/** After half of the VMs know its record, one that acts for the owner before is certain for 1 s at most. */
const KNOWN_WAIT_MS = 1_200;
/** How long commits may end at an owner that handed its group over: its successor waits longer. */
const HANDED_OVER_BELIEF_MS = 1_000;
/** How long half of the VMs may take to know a record before the replacement is given up. */
const SPREAD_TIMEOUT_MS = 500;
const SPREAD_POLL_MS = 10;
/** A record that is younger may name a process that this VM has not heard of yet. */
const RECORD_SETTLED_MS = 600;
/** An owner that is heard and does not serve its group for this long has neither store nor half of the VMs. */
const POWERLESS_AFTER_MS = 1_200;
/** Groups that a VM, or a data centre, owns beyond the least loaded one before it gives one away. */
const UNEVEN_BY = 2;
/** How long a group is badly placed before it moves: its primary or other owners may change again. */
const MISPLACED_MS = 2_000;
/** Pause between groups that a VM short of processor time gives away. */
const RELIEF_INTERVAL_MS = 700;

interface OwnershipOptions {
  self: { vm: string; incarnation: string; dataCentre: string };
  store: MetadataStore;
  documents: Documents;
  fleet: Fleet;
  log: EventLog;
  nowMs(): number;
  wallMs(): number;
  primaryDataCentre(group: string): string | undefined;
  /** Whether the list of VMs and records follows the store now. */
  isFollowing(): boolean;
}

/** Decides and records which VM owns which group. */
const createOwnership = (options: OwnershipOptions) => {
  const { self, store, documents, fleet, log, nowMs, wallMs } = options;
  const claiming = new Set<string>();
  const replaceFromMs = new Map<string, number>();
  /** Since when half of the other VMs know that this one owns a group. */
  const knownSinceMs = new Map<string, number>();
  /** Groups that this VM serves while the store is out of reach, and the heartbeat that said so. */
  const acting = new Map<string, number>();
  /** When each group's record was last read, or written, in the store. */
  const confirmedAt = new Map<string, { steadyMs: number; wallMs: number }>();
  /** Groups that this VM handed over, with the record's revision and when it was sent. */
  const handedOver = new Map<string, { revision: number; steadyMs: number; wallMs: number }>();
  let hasList = false;
  let reliefAtMs = Number.NEGATIVE_INFINITY;
  /** Since when a group that this VM owns should be in another data centre. */
  const misplacedSinceMs = new Map<string, number>();

  const keyOf = (group: string): string => storeKeys.groupPrefix + group;
  const recordOf = (group: string): GroupRecord | undefined => {
    const document = documents.get(keyOf(group));
    return document && readGroupRecord(document.value);
  };
  const isRecorded = (group: string): boolean => {
    const record = recordOf(group);
    return record?.owner === self.vm && record.incarnation === self.incarnation;
  };
  const isGone = (group: string, { owner, incarnation }: GroupRecord): boolean => {
    const sinceMs = documents.get(keyOf(group))?.knownSinceMs ?? nowMs();
    const isSettled = owner === self.vm || nowMs() - sinceMs > RECORD_SETTLED_MS;
    return isOwnerGone({ vm: owner, incarnation, isSettled }, fleet.vms());
  };

  /**
   * Whether a VM that is heard cannot serve the group that it owns. Its successor may act at once: two VMs
   * that use the same primary do no harm.
   */
  const isPowerless = (group: string, { owner }: GroupRecord): boolean => {
    if (owner === self.vm || !options.isFollowing() || !fleet.isHeard(owner)) return false;
    const recordedAtMs = documents.get(keyOf(group))?.knownSinceMs ?? nowMs();
    const servedAtMs = Math.max(recordedAtMs, fleet.servedAtMs(owner, group) ?? 0);
    return nowMs() - servedAtMs > POWERLESS_AFTER_MS;
  };

  const readClocks = () => ({ steadyMs: nowMs(), wallMs: wallMs() });
  const elapsedMs = (at: { steadyMs: number; wallMs: number }): number =>
    Math.max(nowMs() - at.steadyMs, wallMs() - at.wallMs);
  const isStoreBelieved = (group: string): boolean => {
    const at = confirmedAt.get(group);
    return at !== undefined && elapsedMs(at) < STORE_BELIEF_MS;
  };
  /** The successor, which alone may replace the primary now, still waits until its record is known. */
  const isJustHandedOver = (group: string): boolean => {
    const at = handedOver.get(group);
    return (
      at !== undefined &&
      documents.get(keyOf(group))?.revision === at.revision &&
      elapsedMs(at) < HANDED_OVER_BELIEF_MS
    );
  };
  /** The other VMs confirm this one, and none of them knows a newer record. */
  const isPeerBelieved = (group: string, sinceBeat?: number): boolean =>
    fleet.holdsPeerLease(sinceBeat) && !fleet.knowsNewer(keyOf(group));

  /** Whether no other VM can have replaced the group's primary without this VM knowing. */
  const isCertain = (group: string): boolean =>
    isRecorded(group)
      ? isStoreBelieved(group) || isPeerBelieved(group)
      : isJustHandedOver(group) || (acting.has(group) && isPeerBelieved(group, acting.get(group)));

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
      confirmedAt.set(group, at);
      return true;
    }
    const item = await store.get(key);
    if (item) documents.offer(item);
    return false;
  };

  const act = (group: string): void => {
    if (acting.has(group) || isRecorded(group)) return;
    const record = recordOf(group);
    if (!hasList || !record || !isGone(group, record)) return;
    if (fleet.actingFor(group) !== undefined) return;
    acting.set(group, fleet.lastBeat() + 1);
    log.warn('group.acting', { group, before: record.owner });
  };

  const claim = async (group: string, record: GroupRecord | undefined): Promise<void> => {
    const wasActing = acting.has(group);
    const isClaimed = await write(group, {
      owner: self.vm,
      incarnation: self.incarnation,
      primary: record?.primary ?? '',
      term: record?.term ?? 0,
      fence: record?.fence ?? 0,
      isHandedOver: false,
    });
    log.info('group.claimed', { group, outcome: isClaimed, before: record?.owner, wasActing });
    acting.delete(group);
    if (!isClaimed) return;
    replaceFromMs.set(group, nowMs() + REPLACE_WAIT_MS);
  };

  const ownedCounts = (groups: readonly string[]): Map<string, number> => {
    const counts = new Map<string, number>();
    groups.forEach((group) => {
      const owner = recordOf(group)?.owner;
      if (owner !== undefined) counts.set(owner, (counts.get(owner) ?? 0) + 1);
    });
    return counts;
  };

  /** Gives a group to another VM, which may act at once. */
  const handOver = async (group: string): Promise<void> => {
    const record = recordOf(group);
    const others = fleet.vms().filter(({ vm }) => vm !== self.vm);
    const groups = documents
      .all()
      .flatMap(({ key }) =>
        key.startsWith(storeKeys.groupPrefix) ? [key.slice(storeKeys.groupPrefix.length)] : [],
      );
    const primaryDataCentre = options.primaryDataCentre(group);
    const successor = chooseOwner(group, others, ownedCounts(groups), primaryDataCentre);
    const view = others.find(({ vm }) => vm === successor);
    if (!record || !view) return;
    const { incarnation } = view;
    const next = { ...record, owner: view.vm, incarnation, isHandedOver: true };
    const at = readClocks();
    const outcome = await write(group, next);
    const revision = documents.get(keyOf(group))?.revision;
    if (outcome && revision !== undefined) handedOver.set(group, { revision, ...at });
    log.info('group.handedOver', { group, successor, outcome });
  };

  const inBackground = (group: string, change: Promise<void>, event: string): void => {
    claiming.add(group);
    change
      .catch((error) => {
        log.warn(event, { group, reason: String(error) });
        act(group);
      })
      .finally(() => claiming.delete(group));
  };

  /**
   * A group that a cut of this VM's data centre would leave without owner and primary at once, or one of
   * several that it would leave without owners.
   */
  const misplacedGroup = (
    mine: readonly string[],
    counts: ReadonlyMap<string, number>,
    able: readonly VmView[],
  ): string | undefined => {
    const now = nowMs();
    const inCentre = countByDataCentre(fleet.vms(), counts);
    const centreCountOf = (dataCentre: string): number => inCentre.get(dataCentre) ?? 0;
    const isNear = (group: string): boolean => options.primaryDataCentre(group) === self.dataCentre;
    const successorOf = (group: string): VmView | undefined => {
      const vm = chooseOwner(group, able, counts, options.primaryDataCentre(group));
      const view = able.find((entry) => entry.vm === vm);
      const isElsewhere = view !== undefined && view.dataCentre !== self.dataCentre;
      return isElsewhere && (counts.get(view.vm) ?? 0) < mine.length ? view : undefined;
    };
    const misplaced = mine.filter((group) => {
      const successor = successorOf(group);
      if (!successor) return false;
      const surplus = centreCountOf(self.dataCentre) - centreCountOf(successor.dataCentre);
      return isNear(group) || surplus >= UNEVEN_BY;
    });
    [...misplacedSinceMs.keys()]
      .filter((group) => !misplaced.includes(group))
      .forEach((group) => misplacedSinceMs.delete(group));
    misplaced
      .filter((group) => !misplacedSinceMs.has(group))
      .forEach((group) => misplacedSinceMs.set(group, now));
    return misplaced.find((group) => now - (misplacedSinceMs.get(group) ?? now) >= MISPLACED_MS);
  };

  /** Gives one group away when this VM is strained, owns clearly more than another one, or stands in the wrong data centre. */
  const balance = (groups: readonly string[]): void => {
    const counts = ownedCounts(groups);
    const mine = groups.filter(isRecorded);
    const able = fleet
      .vms()
      .filter((view) => view.isHeard && view.isSettled && !view.isLeaving)
      .filter((view) => view.isStoreReachable && !view.isStrained);
    const least = Math.min(...able.map(({ vm }) => counts.get(vm) ?? 0));
    const isDue = fleet.isStrained()
      ? able.length > 0 && nowMs() - reliefAtMs > RELIEF_INTERVAL_MS
      : mine.length - least >= UNEVEN_BY;
    const given = isDue ? mine[0] : misplacedGroup(mine, counts, able);
    if (given === undefined || claiming.size > 0) return;
    reliefAtMs = nowMs();
    inBackground(given, handOver(given), 'group.handOverFailed');
  };

  return {
    recordOf,
    /** Whether this VM serves the group: as its owner, or for one that is gone. */
    isServedHere: (group: string): boolean => isRecorded(group) || acting.has(group),
    isRecorded,
    acting: (): string[] => [...acting.keys()],
    /** The VM that serves the group now. */
    servingVm: (group: string): string | undefined => {
      if (isRecorded(group) || acting.has(group)) return self.vm;
      const owner = recordOf(group)?.owner;
      if (owner !== undefined && fleet.isHeard(owner)) return owner;
      return fleet.actingFor(group) ?? owner;
    },
    isCertain,
    /** Whether this VM is certain of a group, and will still be when its peer lease has ended. */
    isLastinglyCertain: (group: string): boolean =>
      isCertain(group) && (isStoreBelieved(group) || fleet.reachesHalf()),
    /** Whether no earlier owner of the group can still believe in another primary. */
    mayReplacePrimary: (group: string): boolean => {
      if (!isRecorded(group)) return false;
      const known = knownSinceMs.get(group);
      const fromMs = recordOf(group)?.isHandedOver ? 0 : (replaceFromMs.get(group) ?? 0);
      const isSpread = known !== undefined && nowMs() >= known + KNOWN_WAIT_MS;
      // What the store says is not enough: another VM may act for an owner that most cannot hear.
      return nowMs() >= fromMs && isSpread && isPeerBelieved(group);
    },
    /** Whether the store has to be asked often, since too few VMs confirm this one's heartbeats. */
    needsStore: (): boolean => !fleet.holdsPeerLease(),
    /**
     * Records the endpoint that becomes the primary, and waits until half of the other VMs know it:
     * a VM that acts for an owner needs the confirmation of one of them.
     */
    recordPrimary: async (
      group: string,
      next: Pick<GroupRecord, 'primary' | 'term' | 'fence'>,
    ): Promise<boolean> => {
      const record = recordOf(group);
      if (!record || !isRecorded(group)) return false;
      if (!(await write(group, { ...record, ...next }))) return false;
      const revision = documents.get(keyOf(group))?.revision ?? 0;
      const untilMs = nowMs() + SPREAD_TIMEOUT_MS;
      while (!fleet.isKnownByHalf(keyOf(group), revision) && nowMs() < untilMs) {
        await new Promise((resolve) => {
          setTimeout(resolve, SPREAD_POLL_MS);
        });
      }
      const isSpread = fleet.isKnownByHalf(keyOf(group), revision);
      if (!isSpread) log.warn('primary.recordNotSpread', { group, revision });
      return isSpread && isRecorded(group) && isPeerBelieved(group);
    },
    /** The store's list of records is known: groups without one have no owner. */
    setListed: (): void => {
      hasList = true;
    },
    /** Claims groups without an owner that this VM should own. */
    review: (names: Iterable<string>): void => {
      const owned = new Set([...names].filter(isRecorded));
      [...knownSinceMs.keys()]
        .filter((group) => !owned.has(group))
        .forEach((group) => knownSinceMs.delete(group));
      owned.forEach((group) => {
        const { key, revision } = documents.get(keyOf(group)) ?? { key: '', revision: 0 };
        if (!knownSinceMs.has(group) && fleet.isKnownByHalf(key, revision)) {
          knownSinceMs.set(group, nowMs());
        }
      });
      const groups = [...names].sort();
      acting.forEach((_beat, group) => {
        const record = recordOf(group);
        if (record && isGone(group, record)) return;
        log.info('group.actingEnded', { group, owner: record?.owner });
        acting.delete(group);
      });
      if (fleet.isLeaving()) return;
      const vms = fleet.vms();
      const counts = new Map<string, number>();
      const orphans = groups.filter((group) => {
        const record = recordOf(group);
        if (record ? isGone(group, record) || isPowerless(group, record) : hasList) return true;
        if (record) counts.set(record.owner, (counts.get(record.owner) ?? 0) + 1);
        return false;
      });
      orphans.forEach((group) => {
        const record = recordOf(group);
        const before = record?.owner;
        const isBack =
          !(record && isPowerless(group, record)) &&
          vms.some(({ vm, isHeard, isLeaving }) => vm === before && isHeard && !isLeaving);
        const stand = acting.has(group) ? self.vm : fleet.actingFor(group);
        const owner =
          stand ??
          (isBack ? before : undefined) ??
          chooseOwner(group, vms, counts, options.primaryDataCentre(group));
        if (owner === undefined) return;
        counts.set(owner, (counts.get(owner) ?? 0) + 1);
        if (owner !== self.vm || claiming.has(group)) return;
        if (!options.isFollowing()) act(group);
        // Without the store's list this VM cannot tell how many VMs there are.
        if (options.isFollowing()) {
          inBackground(group, claim(group, recordOf(group)), 'group.claimFailed');
        }
      });
      if (orphans.length === 0) balance(groups);
    },
    /** Reads the records anew: as long as they name this VM, no other can have replaced a primary. */
    refresh: async (): Promise<void> => {
      const at = readClocks();
      const { items } = await store.list(storeKeys.groupPrefix);
      items.forEach((item) => {
        documents.offer(item);
        confirmedAt.set(item.key.slice(storeKeys.groupPrefix.length), at);
      });
    },
    handOver,
  };
};

export default createOwnership;
