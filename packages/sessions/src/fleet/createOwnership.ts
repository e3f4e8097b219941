import {
  chooseOwner,
  compareDocumentPositions,
  hasLostOwner,
  type EvacuationPhase,
  type DocumentPosition,
} from '@auburngrade/coordination';
import type GroupRecord from '../group/groupRecord';
import type EventLog from '../seams/eventLog';
import type MetadataStore from '../seams/metadataStore';
import type StorePosition from '../seams/storePosition';
import type StoredItem from '../seams/storedItem';
import createGroupRebalancing from './createGroupRebalancing';
import type Documents from './documents';
import type Fleet from './fleet';
import type KnownDocument from './knownDocument';
import readGroupRecord from './readGroupRecord';
import storeKeys from './storeKeys';

/** An owner without a peer lease stays authoritative for this long after the store confirmed its record. */
const STORE_CONFIRMATION_VALID_MS = 1_200;
/** Wait of a new owner before it replaces a primary: the previous owner's store confirmation and a margin. */
const PRIMARY_REPLACEMENT_DELAY_MS = 1_600;
/** Wait after a majority knows a new owner's record: an acting VM loses its peer lease 1 s later at most. */
const ACTING_VM_EXPIRY_WAIT_MS = 1_200;
/** Commits may finish at the previous owner for this long after a handover; its successor waits longer. */
const HANDOVER_GRACE_MS = 1_000;
/** A replacement of the primary is abandoned if no majority knows its record within this time. */
const MAJORITY_TIMEOUT_MS = 500;
const MAJORITY_POLL_MS = 10;
/** A younger record may name a process that has not sent its first heartbeat to this VM yet. */
const RECORD_GRACE_MS = 600;
/** An owner that is heard but did not serve its group for this long reaches neither store nor majority. */
const OWNER_STALLED_AFTER_MS = 1_200;

interface OwnershipOptions {
  self: { vm: string; incarnation: string; dataCentre: string };
  store: MetadataStore;
  documents: Documents;
  fleet: Fleet;
  log: EventLog;
  nowMs(): number;
  wallMs(): number;
  primaryDataCentre(group: string): string | undefined;
  /** How far the evacuation of the data centre of the group's primary is; in service if that is not known. */
  primaryPhase(group: string): EvacuationPhase;
  /** Whether this VM is replacing the group's primary. */
  isReplacingPrimary(group: string): boolean;
  /** Whether registrations and group records are up to date with the store. */
  isStoreViewCurrent(): boolean;
}

/**
 * Decides which VM owns which group, and records it in the metadata store. Only a group's owner may replace
 * its primary. While the store is unreachable, an "acting" VM serves the group of a lost owner.
 */
const createOwnership = (options: OwnershipOptions) => {
  const { self, store, documents, fleet, log, nowMs, wallMs } = options;
  const rebalancing = createGroupRebalancing({
    ...options,
    isPrimaryToBeMoved: (group) => options.primaryPhase(group) === 'evacuating',
  });
  const groupsBeingRecorded = new Set<string>();
  /** When the wait of a VM that claimed a group ends, in which tenure. */
  const replacementWaits = new Map<string, { tenure: string | undefined; endsAtMs: number }>();
  /** Since when a majority of the VMs has known that this VM owns the group, in which tenure. */
  const majorityKnowledge = new Map<string, { tenure: string; sinceMs: number }>();
  /** Groups for which this VM is acting, with the number of the first heartbeat that announces it. */
  const actingSinceHeartbeat = new Map<string, number>();
  /** When each group's record was last read from or written to the store. */
  const recordConfirmedAt = new Map<string, { steadyMs: number; wallMs: number }>();
  /** Groups that this VM handed over: the tenure that ended, the new record's position, when its write began. */
  const handovers = new Map<
    string,
    { tenure: string | undefined; position: DocumentPosition; steadyMs: number; wallMs: number }
  >();
  /** Tenures as the acting VM that a claim of this VM continues, by the epoch of the claim. */
  const continuedTenures = new Map<string, { ownerEpoch: number; tenure: string }>();
  let hasListedRecords = false;

  /** Records by the document that they were read from: they are needed for each statement. */
  const parsedRecords = new WeakMap<KnownDocument, GroupRecord | undefined>();

  const toGroupKey = (group: string): string => storeKeys.groupPrefix + group;
  const getRecord = (group: string): GroupRecord | undefined => {
    const document = documents.get(toGroupKey(group));
    if (!document) return undefined;
    if (!parsedRecords.has(document)) parsedRecords.set(document, readGroupRecord(document.value));
    return parsedRecords.get(document);
  };
  /** Whether the group's record names this process as its owner. */
  const isOwnedHere = (group: string): boolean => {
    const record = getRecord(group);
    return record?.owner === self.vm && record.incarnation === self.incarnation;
  };
  /**
   * Identifies this VM's uninterrupted service of the group, as its owner or as the acting VM; undefined if it has
   * none. What was concluded in another tenure is void: the primary may have been replaced in between.
   */
  const findTenure = (group: string): string | undefined => {
    const { ownerEpoch = 0, fence = 0, isHandedOver } = getRecord(group) ?? {};
    const continued = continuedTenures.get(group);
    // Only a claim of this VM names it without a handover: no other owner came in between.
    const isContinued = continued?.ownerEpoch === ownerEpoch && isHandedOver === false;
    if (isOwnedHere(group)) return isContinued ? continued.tenure : `owner ${ownerEpoch}`;
    return actingSinceHeartbeat.has(group) ? `acting ${ownerEpoch} ${fence}` : undefined;
  };
  const isOwnerLost = (group: string, { owner, incarnation }: GroupRecord): boolean => {
    const sinceMs = documents.get(toGroupKey(group))?.knownSinceMs ?? nowMs();
    const isSettled = owner === self.vm || nowMs() - sinceMs > RECORD_GRACE_MS;
    return hasLostOwner({ vm: owner, incarnation, isSettled }, fleet.vms());
  };

  /**
   * Whether the owner is heard but cannot serve the group. Another VM may claim the group at once: two VMs
   * that use the same primary do no harm.
   */
  const isOwnerStalled = (group: string, { owner }: GroupRecord): boolean => {
    if (owner === self.vm || !options.isStoreViewCurrent() || !fleet.isHeard(owner)) return false;
    const recordedAtMs = documents.get(toGroupKey(group))?.knownSinceMs ?? nowMs();
    const servedAtMs = Math.max(recordedAtMs, fleet.servedAtMs(owner, group) ?? 0);
    return nowMs() - servedAtMs > OWNER_STALLED_AFTER_MS;
  };

  const readClocks = () => ({ steadyMs: nowMs(), wallMs: wallMs() });
  const elapsedMs = (at: { steadyMs: number; wallMs: number }): number =>
    Math.max(nowMs() - at.steadyMs, wallMs() - at.wallMs);
  const isConfirmedByStore = (group: string): boolean => {
    const at = recordConfirmedAt.get(group);
    return at !== undefined && elapsedMs(at) < STORE_CONFIRMATION_VALID_MS;
  };
  /**
   * Whether this VM handed the group over so recently that the new owner may not replace the primary yet.
   * @param tenure The tenure that has to be the one that the handover ended, if it is given.
   */
  const isInHandoverGrace = (group: string, tenure = handovers.get(group)?.tenure): boolean => {
    const at = handovers.get(group);
    const known = documents.get(toGroupKey(group));
    return (
      at !== undefined &&
      at.tenure === tenure &&
      known !== undefined &&
      compareDocumentPositions(known, at.position) === 0 &&
      elapsedMs(at) < HANDOVER_GRACE_MS
    );
  };
  /** Whether this VM holds the peer lease and no peer reports a newer record of the group. */
  const isConfirmedByPeers = (group: string, sinceHeartbeatNumber?: number): boolean =>
    fleet.holdsPeerLease(sinceHeartbeatNumber) && !fleet.isNewerKnownElsewhere(toGroupKey(group));

  /** Whether no other VM can have replaced the group's primary without this VM knowing it. */
  const isAuthoritative = (group: string): boolean =>
    isOwnedHere(group)
      ? isConfirmedByStore(group) || isConfirmedByPeers(group)
      : isInHandoverGrace(group) ||
        (actingSinceHeartbeat.has(group) &&
          isConfirmedByPeers(group, actingSinceHeartbeat.get(group)));

  type Certainty = 'store' | 'voters' | 'handover' | 'none';
  /** On whose word this VM is authoritative for the group. */
  const findCertainty = (group: string): Certainty => {
    if (!isAuthoritative(group)) return 'none';
    if (isOwnedHere(group)) return isConfirmedByPeers(group) ? 'voters' : 'store';
    return isInHandoverGrace(group) ? 'handover' : 'voters';
  };
  const loggedCertainties = new Map<string, string>();
  /** Logs for each served group when the word on which it is served, or the tenure, has changed. */
  const logCertainties = (groups: readonly string[]): void =>
    groups.forEach((group) => {
      const certainty = findCertainty(group);
      const tenure = findTenure(group);
      const current = `${certainty} ${tenure}`;
      const before = loggedCertainties.get(group) ?? 'none undefined';
      if (current === before) return;
      loggedCertainties.set(group, current);
      const known = documents.get(toGroupKey(group));
      log.info('group.certainty', {
        group,
        certainty,
        tenure,
        before,
        era: known?.era,
        revision: known?.revision,
        ...(known && fleet.describeMajority(known.key, known)),
      });
    });

  const isWrittenInEra = ({ value }: StoredItem, era: number): boolean =>
    (readGroupRecord(value)?.era ?? era) === era;

  /**
   * Whether this VM may write the first record of the group in the store's era. The store may have lost newer
   * records of an earlier era: a majority of the VMs knows those that mattered, so one of them tells.
   */
  const mayStartEra = (group: string): boolean => fleet.isSettled() && isConfirmedByPeers(group);
  const isRecordInCurrentEra = (group: string): boolean =>
    documents.get(toGroupKey(group))?.era === store.era();
  const mayWriteRecord = (group: string): boolean =>
    isRecordInCurrentEra(group) || mayStartEra(group);

  /**
   * The position that the store's record must have when it is written next; undefined if the store has a newer
   * record than this VM, or if this VM may not write it.
   */
  const findExpectedPosition = async (group: string): Promise<StorePosition | undefined> => {
    const key = toGroupKey(group);
    const known = documents.get(key);
    if (known && isRecordInCurrentEra(group)) return known;
    if (!mayStartEra(group)) {
      log.info('group.recordUnconfirmed', { group, knownEra: known?.era, era: store.era() });
      return undefined;
    }
    const { item, era } = await store.get(key);
    if (item) documents.putIfNewer(item);
    // The next record was made from the known one. A newer one may also have come from a VM during the read.
    if (documents.get(key) !== known || !mayStartEra(group)) return undefined;
    return { era, revision: item?.revision ?? 0 };
  };

  /** Writes the record unless the store has a newer one; returns whether it did. Throws if the store fails. */
  const writeRecord = async (group: string, next: GroupRecord): Promise<boolean> => {
    const key = toGroupKey(group);
    const at = readClocks();
    const expected = await findExpectedPosition(group);
    if (!expected) return false;
    const { era, revision } = expected;
    const value = JSON.stringify({ ...next, era });
    const outcome = await store.commit({
      era,
      expected: [{ key, revision }],
      puts: [{ key, value }],
    });
    if (outcome.kind === 'committed') {
      const document = { key, era, revision: outcome.revision, value };
      documents.putIfNewer(document);
      fleet.publish(document);
      recordConfirmedAt.set(group, at);
      return true;
    }
    const { item } = await store.get(key);
    if (item) documents.putIfNewer(item);
    return false;
  };

  /** Writes the known record of an owned group again if it stems from an earlier era of the store. */
  const renewRecord = async (group: string): Promise<void> => {
    const record = getRecord(group);
    if (!record) return;
    const isWritten = await writeRecord(group, record);
    const { fence, term } = record;
    log.info('group.recordRenewed', { group, era: store.era(), fence, term, outcome: isWritten });
  };

  const startActing = (group: string): void => {
    if (actingSinceHeartbeat.has(group) || isOwnedHere(group)) return;
    const record = getRecord(group);
    if (!hasListedRecords || !record || !isOwnerLost(group, record)) return;
    if (fleet.findActingVm(group) !== undefined) return;
    actingSinceHeartbeat.set(group, fleet.lastHeartbeatNumber() + 1);
    log.warn('group.acting', { group, before: record.owner });
  };

  const claimGroup = async (group: string, record: GroupRecord | undefined): Promise<void> => {
    const wasActing = actingSinceHeartbeat.has(group);
    const madeFrom = documents.get(toGroupKey(group))?.revision;
    const others = fleet.vms().filter(({ vm, isVoter }) => isVoter && vm !== record?.owner);
    const notHearing = others
      .filter(
        ({ hasRecentHeartbeat, isSettled, hears }) =>
          hasRecentHeartbeat && isSettled && record && !hears.has(record.owner),
      )
      .map(({ vm }) => vm);
    const ownerEpoch = (record?.ownerEpoch ?? 0) + 1;
    const actingTenure = wasActing ? findTenure(group) : undefined;
    if (actingTenure !== undefined)
      continuedTenures.set(group, { ownerEpoch, tenure: actingTenure });
    const isClaimed = await writeRecord(group, {
      owner: self.vm,
      incarnation: self.incarnation,
      primary: record?.primary ?? '',
      term: record?.term ?? 0,
      fence: record?.fence ?? 0,
      ownerEpoch,
      isHandedOver: false,
    });
    const { era, revision } = documents.get(toGroupKey(group)) ?? {};
    log.info('group.claimed', {
      group,
      outcome: isClaimed,
      before: record?.owner,
      wasActing,
      incarnation: self.incarnation,
      fence: record?.fence,
      term: record?.term,
      ownerEpoch,
      madeFrom,
      era,
      revision,
      notHearing,
      counted: others.map(({ vm }) => vm),
    });
    actingSinceHeartbeat.delete(group);
    if (!isClaimed) return;
    const endsAtMs = nowMs() + PRIMARY_REPLACEMENT_DELAY_MS;
    replacementWaits.set(group, { tenure: findTenure(group), endsAtMs });
  };

  const countOwnedGroups = (groups: readonly string[]): Map<string, number> => {
    const counts = new Map<string, number>();
    groups.forEach((group) => {
      const owner = getRecord(group)?.owner;
      if (owner !== undefined) counts.set(owner, (counts.get(owner) ?? 0) + 1);
    });
    return counts;
  };

  /** Records another VM as the owner, which need not wait for this one. Does nothing if no VM is suitable. */
  const handOver = async (group: string): Promise<void> => {
    const record = getRecord(group);
    const others = fleet.vms().filter(({ vm }) => vm !== self.vm);
    const groups = documents
      .all()
      .flatMap(({ key }) =>
        key.startsWith(storeKeys.groupPrefix) ? [key.slice(storeKeys.groupPrefix.length)] : [],
      );
    const primaryDataCentre = options.primaryDataCentre(group);
    const successor = chooseOwner(group, others, countOwnedGroups(groups), primaryDataCentre);
    const successorView = others.find(({ vm }) => vm === successor);
    if (!record || !successorView) return;
    const { incarnation } = successorView;
    const next = {
      ...record,
      owner: successorView.vm,
      incarnation,
      ownerEpoch: record.ownerEpoch + 1,
      isHandedOver: true,
    };
    const at = { tenure: findTenure(group), ...readClocks() };
    const isWritten = await writeRecord(group, next);
    const position = documents.get(toGroupKey(group));
    if (isWritten && position !== undefined) handovers.set(group, { position, ...at });
    const { era, revision } = position ?? {};
    const { fence, term } = record;
    const recorded = { fence, term, era, revision };
    log.info('group.handedOver', { group, successor, outcome: isWritten, ...recorded });
  };

  /** Marks the group while its record is written; if that fails, this VM acts for a lost owner. */
  const runRecordChange = (
    group: string,
    recordChange: Promise<void>,
    failureEvent: string,
  ): void => {
    groupsBeingRecorded.add(group);
    recordChange
      .catch((error) => {
        log.warn(failureEvent, { group, reason: String(error) });
        startActing(group);
      })
      .finally(() => groupsBeingRecorded.delete(group));
  };

  /** Hands over one group if the rebalancing asks for it. */
  const rebalance = (groups: readonly string[]): void => {
    const group = rebalancing.findGroupToHandOver(
      groups.filter(isOwnedHere),
      countOwnedGroups(groups),
    );
    if (group === undefined || groupsBeingRecorded.size > 0) return;
    rebalancing.noteHandover();
    runRecordChange(group, handOver(group), 'group.handOverFailed');
  };

  return {
    getRecord,
    /** Whether this VM serves the group, as its owner or as the acting VM. */
    isServedHere: (group: string): boolean => isOwnedHere(group) || actingSinceHeartbeat.has(group),
    isOwnedHere,
    acting: (): string[] => [...actingSinceHeartbeat.keys()],
    /** The VM that serves the group now; undefined if the group has no known owner. */
    findServingVm: (group: string): string | undefined => {
      if (isOwnedHere(group) || actingSinceHeartbeat.has(group)) return self.vm;
      const owner = getRecord(group)?.owner;
      if (owner !== undefined && fleet.isHeard(owner)) return owner;
      return fleet.findActingVm(group) ?? owner;
    },
    findTenure,
    isAuthoritative,
    isInHandoverGrace,
    /** Whether this VM is authoritative for the group and likely stays so when its peer lease ends. */
    isAuthoritativeBeyondPeerLease: (group: string): boolean =>
      isAuthoritative(group) && (isConfirmedByStore(group) || fleet.reachesMajority()),
    /**
     * Whether this VM leaves the group to a VM that reaches the store: the store turns this one away, so that it can't
     * record the replacement of an evacuated primary. Its heartbeats then don't name the group as served.
     */
    isLeftToOthers: (group: string): boolean => {
      if (options.primaryPhase(group) === 'inService') return false;
      const reaching = fleet.vms().filter(({ isStoreReachable }) => isStoreReachable);
      return reaching.length > 0 && !reaching.some(({ vm }) => vm === self.vm);
    },
    /** Whether this VM owns the group and no previous owner or acting VM can still use the old primary. */
    mayReplacePrimary: (group: string): boolean => {
      // The next owner of a group does not wait for a call of a VM that stops.
      if (fleet.isLeaving()) return false;
      const tenure = findTenure(group);
      const knowledge = majorityKnowledge.get(group);
      if (!isOwnedHere(group) || !knowledge || knowledge.tenure !== tenure) return false;
      const { sinceMs } = knowledge;
      const claimWait = replacementWaits.get(group);
      // Without a wait of this tenure, the claim took effect after its call had failed.
      const claimWaitEndsAtMs =
        claimWait && claimWait.tenure === tenure
          ? claimWait.endsAtMs
          : sinceMs + PRIMARY_REPLACEMENT_DELAY_MS;
      const allowedAtMs = getRecord(group)?.isHandedOver ? 0 : claimWaitEndsAtMs;
      const hasActingVmExpired = nowMs() >= sinceMs + ACTING_VM_EXPIRY_WAIT_MS;
      // A confirmation by the store is not enough: another VM may act for an owner that most VMs cannot hear.
      return nowMs() >= allowedAtMs && hasActingVmExpired && isConfirmedByPeers(group);
    },
    /** Whether records need frequent confirmation by the store, since this VM holds no peer lease. */
    needsStoreConfirmation: (): boolean => !fleet.holdsPeerLease(),
    /**
     * Records the next primary and waits until a majority of the VMs knows the record; an acting VM needs
     * the confirmation of one of these. Returns false if the primary must not be replaced.
     */
    recordPrimary: async (
      group: string,
      next: Pick<GroupRecord, 'primary' | 'term' | 'fence'>,
    ): Promise<boolean> => {
      const record = getRecord(group);
      if (!record || !isOwnedHere(group)) return false;
      if (!(await writeRecord(group, { ...record, ...next }))) return false;
      const written = documents.get(toGroupKey(group));
      if (!written) return false;
      const deadlineMs = nowMs() + MAJORITY_TIMEOUT_MS;
      while (!fleet.isKnownByMajority(toGroupKey(group), written) && nowMs() < deadlineMs) {
        await new Promise((resolve) => {
          setTimeout(resolve, MAJORITY_POLL_MS);
        });
      }
      const isMajorityInformed = fleet.isKnownByMajority(toGroupKey(group), written);
      const { era, revision } = written;
      if (!isMajorityInformed) log.warn('primary.recordNotSpread', { group, era, revision });
      const isAllowed = isMajorityInformed && isOwnedHere(group) && isConfirmedByPeers(group);
      log.info('primary.recorded', {
        group,
        ...next,
        incarnation: self.incarnation,
        era,
        revision,
        ...fleet.describeMajority(toGroupKey(group), written),
        outcome: isAllowed,
      });
      return isAllowed;
    },
    /** Call once all records are loaded from the store: from then on a group without one has no owner. */
    markRecordsListed: (): void => {
      hasListedRecords = true;
    },
    /** Called periodically and on changes: claims unowned groups that this VM should own, or rebalances. */
    reconcile: (groupNames: Iterable<string>): void => {
      const ownedGroups = new Set([...groupNames].filter(isOwnedHere));
      majorityKnowledge.forEach(({ tenure }, group) => {
        const isCurrent = ownedGroups.has(group) && findTenure(group) === tenure;
        if (!isCurrent) majorityKnowledge.delete(group);
      });
      ownedGroups.forEach((group) => {
        const known = documents.get(toGroupKey(group));
        const tenure = findTenure(group);
        if (!known || tenure === undefined || majorityKnowledge.has(group)) return;
        if (fleet.isKnownByMajority(known.key, known))
          majorityKnowledge.set(group, { tenure, sinceMs: nowMs() });
      });
      const groups = [...groupNames].sort();
      logCertainties(groups);
      actingSinceHeartbeat.forEach((_heartbeatNumber, group) => {
        const record = getRecord(group);
        if (record && isOwnerLost(group, record)) return;
        log.info('group.actingEnded', { group, owner: record?.owner });
        actingSinceHeartbeat.delete(group);
      });
      if (fleet.isLeaving()) return;
      const vms = fleet.vms();
      const counts = new Map<string, number>();
      const unownedGroups = groups.filter((group) => {
        const record = getRecord(group);
        if (record ? isOwnerLost(group, record) || isOwnerStalled(group, record) : hasListedRecords)
          return true;
        if (record) counts.set(record.owner, (counts.get(record.owner) ?? 0) + 1);
        return false;
      });
      unownedGroups.forEach((group) => {
        const record = getRecord(group);
        const previousOwner = record?.owner;
        const hasOwnerReturned =
          !(record && isOwnerStalled(group, record)) &&
          vms.some(
            ({ vm, hasRecentHeartbeat, isLeaving }) =>
              vm === previousOwner && hasRecentHeartbeat && !isLeaving,
          );
        const actingVm = actingSinceHeartbeat.has(group) ? self.vm : fleet.findActingVm(group);
        const owner =
          actingVm ??
          (hasOwnerReturned ? previousOwner : undefined) ??
          chooseOwner(group, vms, counts, options.primaryDataCentre(group));
        if (owner === undefined) return;
        counts.set(owner, (counts.get(owner) ?? 0) + 1);
        if (owner !== self.vm || groupsBeingRecorded.has(group)) return;
        // Claims need an up-to-date list from the store: without it the number of VMs is unknown.
        if (options.isStoreViewCurrent() && mayWriteRecord(group)) {
          runRecordChange(group, claimGroup(group, getRecord(group)), 'group.claimFailed');
        } else startActing(group);
      });
      groups
        .filter((group) => isOwnedHere(group) && !groupsBeingRecorded.has(group))
        .filter((group) => getRecord(group)?.era !== store.era())
        .filter((group) => options.isStoreViewCurrent() && mayStartEra(group))
        .forEach((group) =>
          runRecordChange(group, renewRecord(group), 'group.recordRenewalFailed'),
        );
      if (unownedGroups.length === 0) rebalance(groups);
    },
    /** Reads all records again: while they name this VM, no other VM can have replaced a primary. */
    refreshRecords: async (): Promise<void> => {
      const at = readClocks();
      const { items, era } = await store.list(storeKeys.groupPrefix);
      items.forEach((item) => {
        documents.putIfNewer(item);
        // A record from before the store was restored confirms nothing: a newer one may be lost.
        if (isWrittenInEra(item, era))
          recordConfirmedAt.set(item.key.slice(storeKeys.groupPrefix.length), at);
      });
    },
    handOver,
  };
};

export default createOwnership;
