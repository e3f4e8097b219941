import metricsJsonSchema from './metricsJsonSchema';
import readCounters from './readCounters';
import type Sample from './sample';

const fetchVmSample = async (
  address: string,
  timeoutMs: number,
): Promise<Sample['vms'][string]> => {
  try {
    const url = `http://${address}/metrics.json`;
    const response = await fetch(url, { signal: AbortSignal.timeout(timeoutMs) });
    const metrics = metricsJsonSchema.parse(await response.json());
    return { kind: 'reached', counters: readCounters(metrics) };
  } catch (error) {
    return { kind: 'unreachable', message: error instanceof Error ? error.message : String(error) };
  }
};

/** Reads the counters of each VM; one that cannot be reached is noted and holds up no other. */
const takeSample = async (addresses: string[], timeoutMs: number): Promise<Sample> => {
  const states = await Promise.all(
    addresses.map(async (address) => [address, await fetchVmSample(address, timeoutMs)] as const),
  );
  return { atMs: Date.now(), vms: Object.fromEntries(states) };
};

export default takeSample;
