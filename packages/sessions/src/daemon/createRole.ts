import { LARGE_VM_CORES, createSeatCandidacy } from '@auburngrade/coordination';
import type createObserver from '../fleet/createObserver';
import type createRegistration from '../fleet/createRegistration';
import parseRegistration from '../fleet/parseRegistration';
import readVoterSet from '../fleet/readVoterSet';
import storeKeys from '../fleet/storeKeys';
import type { VoterAddress } from '../generated/auburngrade/session/v1/session';
import type EventLog from '../seams/eventLog';
import type MetadataStore from '../seams/metadataStore';
import type NodeSettings from '../seams/nodeSettings';
import type StoredItem from '../seams/storedItem';

/** Interval of store reads by a VM that no relay tells about the fleet. */
const STORE_READ_INTERVAL_MS = 1_000;
/** At the first start of a fleet, VMs with more processor time take the seats before the others ask. */
const FIRST_START_SPREAD_MS = 400;
const FIRST_START_SMALL_VM_DELAY_MS = 2_500;
const APPLICATION_RETRY_DELAY_MS = 700;
/** After this time without a relay a VM reads the configuration from the store itself. */
const RELAY_WAIT_MS = 1_500;

/** `undecided`: has neither a seat nor the answer that all are taken. */
type Role = 'undecided' | 'voter' | 'observer';

interface RoleOptions {
  settings: NodeSettings;
  store: MetadataStore;
  configurationKey: string;
  registration: ReturnType<typeof createRegistration>;
  observer: ReturnType<typeof createObserver>;
  log: EventLog;
  nowMs(): number;
  random(): number;
  hasConfiguration(): boolean;
  /** Voter seats of this VM's data centre. */
  seatCount(): number;
  onConfiguration(item: StoredItem): void;
  onVoter(): void;
}

/**
 * Makes this VM a voter if a seat of its data centre is vacant, and an observer otherwise. An observer becomes
 * a voter when a seat falls vacant; a voter stays one for the life of its process.
 */
const createRole = (options: RoleOptions) => {
  const { settings, store, registration, observer, log, nowMs, random } = options;
  const { cores, dataCentre, isFirstStart } = settings;
  const candidacy = createSeatCandidacy({ cores, random });
  const startDelayMs =
    (isFirstStart && cores < LARGE_VM_CORES ? FIRST_START_SMALL_VM_DELAY_MS : 0) +
    (isFirstStart ? random() * FIRST_START_SPREAD_MS : 0);
  const startedAtMs = nowMs();
  let appliesFromMs = startedAtMs + startDelayMs;
  /** Whether the store still lists this VM as a voter, from before a restart. */
  let wasVoter = false;
  /** Whether the recorded set of voters names this VM: its vote is missing until it votes again. */
  let isInVoterSet = false;
  /** Whether another voter opened a voter's stream to this VM. */
  let isKnownAsVoter = false;
  let role: Role = 'undecided';
  let isBusy = false;
  let readAtMs = Number.NEGATIVE_INFINITY;
  /** How the last call of the store ended. */
  let lastCall: 'none' | 'answered' | 'failed' = 'none';

  const becomeVoter = (reason: string): void => {
    if (role === 'voter') return;
    log.info('vm.role', { role: 'voter', before: role, reason });
    role = 'voter';
    observer.unsubscribe();
    registration.keep();
    options.onVoter();
  };

  const becomeObserver = (): void => {
    if (role !== 'undecided') return;
    role = 'observer';
    log.info('vm.role', { role, before: 'undecided', reason: 'no vacant seat' });
  };

  const voteWithoutStore = (): void => {
    if (role === 'undecided' && isKnownAsVoter && lastCall === 'failed')
      becomeVoter('known as a voter');
  };

  const apply = async (): Promise<void> => {
    const isSeated = await registration.apply(!isInVoterSet);
    if (isSeated) becomeVoter(isInVoterSet ? 'voter set' : 'seat');
    else becomeObserver();
    candidacy.restart();
  };

  /** Runs an action on the store; resolves with whether it succeeded. */
  const runExclusively = async (
    action: () => Promise<void>,
    failureEvent: string,
  ): Promise<boolean> => {
    isBusy = true;
    try {
      await action();
      lastCall = 'answered';
    } catch (error) {
      lastCall = 'failed';
      candidacy.restart();
      appliesFromMs = nowMs() + APPLICATION_RETRY_DELAY_MS;
      voteWithoutStore();
      log.info(failureEvent, { reason: String(error) });
    }
    isBusy = false;
    return lastCall === 'answered';
  };

  /**
   * Reads the voters and the configuration from the store, for as long as no relay tells them. At the first
   * start, when all VMs read at once, the configuration comes from a relay if there is one.
   */
  const readStore = async (): Promise<void> => {
    const { items } = await store.list(storeKeys.root);
    const voters = items.flatMap((item): VoterAddress[] => {
      const registered = parseRegistration(item, log);
      return registered ? [{ vm: registered[0], ...registered[1] }] : [];
    });
    observer.setVoters(voters);
    wasVoter = voters.some((voter) => voter.vm === settings.vm);
    const recorded = items.find(({ key }) => key === storeKeys.voterSet);
    isInVoterSet = recorded
      ? (readVoterSet(recorded.value)?.vms.includes(settings.vm) ?? false)
      : false;
    const isRelayOverdue = nowMs() - startedAtMs > startDelayMs + RELAY_WAIT_MS;
    if (isFirstStart && voters.length > 0 && !isRelayOverdue) return;
    const { item: configuration } = await store.get(options.configurationKey);
    if (configuration) options.onConfiguration(configuration);
  };

  const isSeatVacant = (): boolean => {
    const vacantDataCentres = observer.vacantDataCentres();
    if (vacantDataCentres) return vacantDataCentres.includes(dataCentre);
    const local = observer.voters().filter((voter) => voter.dataCentre === dataCentre);
    return lastCall === 'answered' && local.length < options.seatCount();
  };

  const shouldApply = (): boolean => {
    if (!options.hasConfiguration()) return false;
    const isVacant = isSeatVacant();
    if (role === 'observer') return candidacy.isDue(isVacant, nowMs());
    if (wasVoter || isInVoterSet || isVacant || lastCall !== 'answered') return true;
    becomeObserver();
    return false;
  };

  /** Call periodically, and at the start: the next step on the way to a role, or to another relay. */
  const update = (): void => {
    if (role === 'voter') return;
    observer.updateRelay();
    if (isBusy) return;
    const now = nowMs();
    if (now < appliesFromMs) return;
    const isReadDue = !observer.isRelayReachingStore() && now - readAtMs >= STORE_READ_INTERVAL_MS;
    const continueIf = (isDone: boolean): void => {
      if (isDone) update();
    };
    if (shouldApply()) {
      runExclusively(apply, 'vm.applicationFailed').then(continueIf);
    } else if (isReadDue) {
      readAtMs = now;
      runExclusively(readStore, 'fleet.unread').then(continueIf);
    }
  };

  return {
    isVoter: (): boolean => role === 'voter',
    isObserver: (): boolean => role === 'observer',
    /**
     * Call when another voter opens a voter's stream to this VM. It counts this VM from before a restart: without
     * the store this VM then votes again, with the store only if it gets a seat.
     */
    onKnownAsVoter: (): void => {
      isKnownAsVoter = true;
      voteWithoutStore();
    },
    update,
    /** Whether this VM, not being a voter, knows the fleet by a relay or by the store. */
    isInformed: (): boolean => observer.isConnected() || lastCall === 'answered',
  };
};

export default createRole;
