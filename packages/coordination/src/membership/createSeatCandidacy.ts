import LARGE_VM_CORES from './largeVmCores';

/** A voter that restarts takes its seat again within this time, so nobody else applies before. */
const RESTART_ALLOWANCE_MS = 400;
/** Applications of the observers of a data centre are spread over this time. */
const SPREAD_MS = 800;
/** VMs with less processor time apply later by this much. */
const SMALL_VM_DELAY_MS = 900;

interface SeatCandidacyOptions {
  /** Processor time of the VM in cores. */
  cores: number;
  /** Uniformly distributed in [0, 1). */
  random(): number;
}

/**
 * Decides when an observer applies for a vacant voter seat of its data centre. Handles a vacancy that
 * hundreds of observers see at the same moment: few apply, those with more processor time first.
 */
const createSeatCandidacy = ({ cores, random }: SeatCandidacyOptions) => {
  let applyAtMs: number | undefined;
  const sizeDelayMs = cores >= LARGE_VM_CORES ? 0 : SMALL_VM_DELAY_MS;

  return {
    /** Whether to apply now; call it again and again, also while no seat is vacant. */
    isDue: (isSeatVacant: boolean, nowMs: number): boolean => {
      if (!isSeatVacant) {
        applyAtMs = undefined;
        return false;
      }
      applyAtMs ??= nowMs + RESTART_ALLOWANCE_MS + sizeDelayMs + random() * SPREAD_MS;
      return nowMs >= applyAtMs;
    },
    /** Call after an application that failed: the next one waits as long as the first. */
    restart: (): void => {
      applyAtMs = undefined;
    },
  };
};

export default createSeatCandidacy;
