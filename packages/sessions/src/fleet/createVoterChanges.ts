import { planVoterChange } from '@auburngrade/coordination';
import type EventLog from '../seams/eventLog';
import type MetadataStore from '../seams/metadataStore';
import type StorePosition from '../seams/storePosition';
import sleep from '../time/sleep';
import type Documents from './documents';
import type Fleet from './fleet';
import storeKeys from './storeKeys';

/** The VMs that reach the store take turns at a change that is not made, so that few of them try at once. */
const TURN_MS = 750;
/** A VM that stops waits this long, and as long again for each voter before it, to take itself out of the set. */
const LEAVE_TURN_MS = 100;

interface VoterChangesOptions {
  self: { vm: string };
  store: MetadataStore;
  documents: Documents;
  fleet: Fleet;
  log: EventLog;
  nowMs(): number;
  /** Whether registrations and the set are up to date with the store. */
  isStoreViewCurrent(): boolean;
}

/** Why a set of voters is written. `recovery`: a majority of the voters has been gone for long. */
type ChangeReason = 'first' | 'era' | 'change' | 'left' | 'recovery';

/**
 * Changes the set of voters that the store records. Each change is conditional on the set that it was made from, keeps
 * the majorities of both sets in touch, and is made only once a majority knows the set before. So a majority of any
 * set in use has a VM that knows of the later sets, and whose confirmation does not count for the earlier ones.
 */
const createVoterChanges = (options: VoterChangesOptions) => {
  const { self, store, documents, fleet, log, nowMs } = options;
  let isWriting = false;
  let dueSinceMs: number | undefined;

  const isKnownByMajority = (): boolean => {
    const known = documents.get(storeKeys.voterSet);
    return known !== undefined && fleet.isKnownByMajority(storeKeys.voterSet, known);
  };

  /** Writes a set over the one at the position; returns whether it did. Throws if the store fails. */
  const write = async (
    vms: readonly string[],
    reason: ChangeReason,
    { era, revision }: StorePosition,
  ): Promise<boolean> => {
    const key = storeKeys.voterSet;
    const before = fleet.voterSet();
    const version = (before?.version ?? 0) + 1;
    const value = JSON.stringify({ version, vms, era });
    const outcome = await store.commit({
      era,
      expected: [{ key, revision }],
      puts: [{ key, value }],
    });
    const isWritten = outcome.kind === 'committed';
    log.info('voters.changed', { reason, version, vms, before: before?.vms, outcome: isWritten });
    if (isWritten) {
      const document = { key, era, revision: outcome.revision, value };
      documents.putIfNewer(document);
      fleet.publish(document);
      return true;
    }
    const { item } = await store.get(key);
    if (item) documents.putIfNewer(item);
    return false;
  };

  /** Writes a set over what the store has, unless that is newer than what this VM knows. */
  const writeOverStored = async (
    vms: readonly string[],
    reason: ChangeReason,
    mayWrite: () => boolean,
  ): Promise<void> => {
    const known = documents.get(storeKeys.voterSet);
    const { item, era } = await store.get(storeKeys.voterSet);
    if (item) documents.putIfNewer(item);
    if (documents.get(storeKeys.voterSet) !== known || !mayWrite()) return;
    await write(vms, reason, { era, revision: item?.revision ?? 0 });
  };

  const run = (change: () => Promise<unknown>): void => {
    isWriting = true;
    change()
      .catch((error) => log.info('voters.unchanged', { reason: String(error) }))
      .finally(() => {
        isWriting = false;
        dueSinceMs = undefined;
      });
  };

  /** Whether it is this VM's turn to make the change that is due. */
  const isOwnTurn = (): boolean => {
    dueSinceMs ??= nowMs();
    const turn = fleet.vmsReachingStore(true).indexOf(self.vm);
    return nowMs() - dueSinceMs >= turn * TURN_MS;
  };

  const startFirstSet = (): void => {
    const mayStart = (): boolean =>
      fleet.isSettled() && !fleet.isNewerKnownElsewhere(storeKeys.voterSet);
    if (mayStart() && isOwnTurn())
      run(() => writeOverStored(fleet.listFirstVoters(), 'first', mayStart));
  };

  const isInCurrentEra = (): boolean => documents.get(storeKeys.voterSet)?.era === store.era();

  const updateKnownSet = (vms: readonly string[]): void => {
    const known = documents.get(storeKeys.voterSet);
    if (!known) return;
    if (!isInCurrentEra()) {
      const mayRewrite = (): boolean => fleet.isSettled() && fleet.holdsPeerLease();
      if (mayRewrite() && isOwnTurn()) run(() => writeOverStored(vms, 'era', mayRewrite));
      return;
    }
    const lost = new Set(fleet.listLostVoters());
    if (!fleet.holdsPeerLease() && lost.size > 0) {
      const remaining = vms.filter((vm) => !lost.has(vm));
      const next = [...remaining, ...fleet.listJoiningVoters()];
      if (next.length > 0 && isOwnTurn()) run(() => write(next.sort(), 'recovery', known));
      return;
    }
    if (!fleet.holdsPeerLease() || !isKnownByMajority()) return;
    const next = planVoterChange(vms, {
      joining: fleet.listJoiningVoters(),
      leaving: fleet.listLeavingVoters(),
    });
    if (!next) dueSinceMs = undefined;
    else if (isOwnTurn()) run(() => write(next, 'change', known));
  };

  return {
    /** Call periodically, and when the set has changed: makes the next change that is due. */
    update: (): void => {
      if (isWriting || fleet.isLeaving() || !options.isStoreViewCurrent()) return;
      const vms = fleet.voterSet()?.vms ?? [];
      if (vms.length === 0) startFirstSet();
      else updateKnownSet(vms);
    },
    /**
     * Takes this VM, which stops, out of the set, unless another VM does; gives up after `limitMs`. The last voter
     * leaves an empty set, which the VMs that come next replace.
     */
    leave: async (limitMs: number): Promise<void> => {
      const untilMs = nowMs() + limitMs;
      for (;;) {
        const index = fleet.voterSet()?.vms.indexOf(self.vm) ?? -1;
        if (index < 0 || nowMs() >= untilMs) return;
        await sleep(LEAVE_TURN_MS * (index + 1));
        const known = documents.get(storeKeys.voterSet);
        const vms = fleet.voterSet()?.vms ?? [];
        if (known && vms.includes(self.vm) && isInCurrentEra() && isKnownByMajority()) {
          const next = vms.filter((vm) => vm !== self.vm);
          await write(next, 'left', known).catch((error) =>
            log.info('voters.unchanged', { reason: String(error) }),
          );
        }
      }
    },
  };
};

export default createVoterChanges;
