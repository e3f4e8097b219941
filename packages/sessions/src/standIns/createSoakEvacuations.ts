import type GroupEndpoint from '../seams/groupEndpoint';
import type createFakeStore from './createFakeStore';
import type createVirtualTime from './createVirtualTime';

type Time = ReturnType<typeof createVirtualTime>;
type Process = ReturnType<Time['startProcess']>;

const OPERATOR_PREFIX = 'op/';
const PREFIX = `${OPERATOR_PREFIX}evacuate/`;
const BOUND_MS = 5_000;
const TOUCH_INTERVAL_MS = 20;
/** A VM calls the store again within this time after a fault: a watch times out, and the delay of a retry passes. */
const RECONNECT_MS = 4_500;

interface SoakEvacuationsOptions {
  time: Time;
  store: Pick<ReturnType<typeof createFakeStore>, 'put' | 'remove'>;
  /** The newest process of each VM. */
  processes(): ReadonlyMap<string, Process>;
  /** Whether a VM is out of touch with the store. */
  isApart(vm: string): boolean;
  onViolation(violation: string): void;
}

/** Evacuates data centres in a soak, and checks that VMs in touch with the store leave their endpoints alone. */
const createSoakEvacuations = (options: SoakEvacuationsOptions) => {
  const { time, store, onViolation } = options;
  const putAtMs = new Map<string, number>();
  /** When each process was last out of touch with the store, or stood still. */
  const lastApartMs = new Map<Process, number>();
  let count = 0;
  const noteTouch = (): void => {
    options.processes().forEach((process, vm) => {
      if (options.isApart(vm) || process.frozen || !lastApartMs.has(process))
        lastApartMs.set(process, time.nowMs());
    });
    time.post(undefined, TOUCH_INTERVAL_MS, noteTouch);
  };
  time.post(undefined, 0, noteTouch);

  return {
    operatorPrefix: OPERATOR_PREFIX,
    prefix: PREFIX,
    boundMs: BOUND_MS,
    count: () => count,
    /** Call with all that arrives at an endpoint. */
    checkArrival: (vm: string, process: Process, endpoint: GroupEndpoint, what: string): void => {
      const atMs = putAtMs.get(endpoint.dataCentre);
      if (atMs === undefined) return;
      const inTouchMs = (lastApartMs.get(process) ?? time.nowMs()) + RECONNECT_MS;
      if (time.nowMs() <= Math.max(atMs, inTouchMs) + BOUND_MS) return;
      onViolation(
        `${time.nowMs()} ms: ${what} of ${vm} arrives at ${endpoint.id}, evacuated at ${atMs}`,
      );
    },
    /** Evacuates a data centre; returns what ends it, or undefined if it is evacuated already. */
    begin: (dataCentre: string): (() => void) | undefined => {
      if (putAtMs.has(dataCentre)) return undefined;
      count += 1;
      putAtMs.set(dataCentre, time.nowMs());
      store.put(PREFIX + dataCentre, '{}');
      return () => {
        putAtMs.delete(dataCentre);
        store.remove(PREFIX + dataCentre);
      };
    },
  };
};

export default createSoakEvacuations;
