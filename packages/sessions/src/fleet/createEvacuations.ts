import {
  applyEvacuationEvents,
  findEvacuationPhase,
  updateEvacuationStarts,
  type EvacuationPhase,
} from '@auburngrade/coordination';
import type EventLog from '../seams/eventLog';
import type StorePosition from '../seams/storePosition';
import type StoredItem from '../seams/storedItem';
import type Documents from './documents';
import readEvacuations from './readEvacuations';
import storeKeys from './storeKeys';

/** Timers may run this much early against the monotonic clock. */
const TIMER_SLACK_MS = 2;

interface EvacuationsOptions {
  documents: Documents;
  /** Key prefix under which operators evacuate data centres by name. */
  prefix: string;
  /** Time from the acknowledgement of an evacuation until nothing may reach the endpoints. */
  boundMs: number;
  log: EventLog;
  nowMs(): number;
}

type StoreChange = Pick<StoredItem, 'key' | 'revision'> & { isDeleted?: true };

/**
 * Tracks which data centres are evacuated. The set is one document that VMs pass on to each other, so that a VM
 * that the store turns away learns of it too. Its position is that of the list or event that it was made from.
 */
const createEvacuations = ({ documents, prefix, boundMs, log, nowMs }: EvacuationsOptions) => {
  const listeners: (() => void)[] = [];
  let startsMs: ReadonlyMap<string, number> = new Map();
  let phaseTimer: NodeJS.Timeout | undefined;

  const notify = (): void => listeners.forEach((listener) => listener());
  const phaseOf = (dataCentre: string): EvacuationPhase =>
    findEvacuationPhase({ sinceMs: startsMs.get(dataCentre), nowMs: nowMs(), boundMs });

  /** Notifies the listeners when the next evacuation ends its first phase. */
  const schedulePhaseChange = (): void => {
    clearTimeout(phaseTimer);
    const evacuatingMs = findEvacuationPhase.evacuatingMs(boundMs);
    const waits = [...startsMs.values()]
      .map((sinceMs) => sinceMs + evacuatingMs - nowMs())
      .filter((waitMs) => waitMs > 0);
    if (waits.length === 0) return;
    phaseTimer = setTimeout(
      () => {
        notify();
        schedulePhaseChange();
      },
      Math.min(...waits) + TIMER_SLACK_MS,
    );
  };

  documents.onChange(({ key, value, era, revision }) => {
    if (key !== storeKeys.evacuations) return;
    const dataCentres = readEvacuations(value);
    if (!dataCentres) {
      log.warn('evacuation.unreadable', { era, revision });
      return;
    }
    const before = [...startsMs.keys()];
    const isUnchanged = before.join() === dataCentres.join();
    if (isUnchanged) return;
    startsMs = updateEvacuationStarts(startsMs, dataCentres, nowMs());
    log.warn('evacuation.changed', { dataCentres, before, era, revision });
    before
      .filter((dataCentre) => !dataCentres.includes(dataCentre))
      .forEach((dataCentre) => log.info('evacuation.ended', { dataCentre, era, revision }));
    schedulePhaseChange();
    notify();
  });

  const put = (dataCentres: readonly string[], { era, revision }: StorePosition): void => {
    const value = JSON.stringify({ dataCentres });
    documents.putIfNewer({ key: storeKeys.evacuations, value, era, revision });
  };
  const nameIn = (key: string): string | undefined =>
    key.startsWith(prefix) && key.length > prefix.length ? key.slice(prefix.length) : undefined;

  return {
    phaseOf,
    /** The data centres that are not in service, sorted. */
    dataCentres: (): string[] => [...startsMs.keys()],
    isInService: (dataCentre: string): boolean => !startsMs.has(dataCentre),
    /** When this VM learned of the evacuation, in ms of the monotonic clock. */
    evacuatedSinceMs: (dataCentre: string): number | undefined => startsMs.get(dataCentre),
    /** Takes a full list of the operators' keys. It shows no removals, so an unchanged set is confirmed anew. */
    takeList: (items: readonly Pick<StoredItem, 'key'>[], position: StorePosition): void =>
      put(items.flatMap(({ key }) => nameIn(key) ?? []).sort(), position),
    /** Takes changes of the operators' keys in an era of the store. */
    takeEvents: (changes: readonly StoreChange[], era: number): void => {
      const events = changes.flatMap(({ key, revision, isDeleted }) => {
        const dataCentre = nameIn(key);
        return dataCentre === undefined
          ? []
          : [{ dataCentre, isEvacuated: isDeleted !== true, revision }];
      });
      if (events.length === 0) return;
      const known = documents.get(storeKeys.evacuations);
      // A document of a later era includes more than this watch can tell.
      if (known && known.era > era) return;
      const isOfEra = known?.era === era;
      const state = {
        dataCentres: known ? (readEvacuations(known.value) ?? []) : [],
        revision: isOfEra ? known.revision : 0,
      };
      const next = applyEvacuationEvents(state, events);
      if (next.revision > state.revision) put(next.dataCentres, { era, revision: next.revision });
    },
    /** Registers a listener, called when an evacuation begins, enters its last phase, or ends. */
    onChange: (listener: () => void): void => {
      listeners.push(listener);
    },
    close: (): void => clearTimeout(phaseTimer),
  };
};

export default createEvacuations;
