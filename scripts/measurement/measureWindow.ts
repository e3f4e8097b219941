import type { Fleet } from '@auburngrade/testkit';
import median from './median';
import readProcessUsage from './readProcessUsage';
import sleep from './sleep';

const MS_PER_S = 1_000;
const PERCENT = 100;

/** Measures VMs (all, or those named) and the platform over a window of time. */
const measureWindow = async (fleet: Fleet, windowMs: number, names = [...fleet.vms.keys()]) => {
  const processes = names.map((name) => fleet.vms.get(name)?.pid ?? 0);
  const usageOf = () => [...processes, fleet.platform.pid].map(readProcessUsage);
  const [countsBefore, before, startedAtMs] = [
    await fleet.platform.counts(),
    usageOf(),
    performance.now(),
  ];
  await sleep(windowMs);
  const [after, elapsedS] = [usageOf(), (performance.now() - startedAtMs) / MS_PER_S];
  const counts = await fleet.platform.counts();
  const perS = (name: string): number =>
    ((counts[name] ?? 0) - (countsBefore[name] ?? 0)) / elapsedS;
  const growth = after.map((usage, index) => ({
    cpuPercent: ((usage.cpuMs - (before[index]?.cpuMs ?? 0)) / elapsedS / MS_PER_S) * PERCENT,
    bytesPerS: (usage.ioBytes - (before[index]?.ioBytes ?? 0)) / elapsedS,
    residentMb: usage.residentMb,
  }));
  const vms = growth.slice(0, -1);
  const platform = growth.at(-1);
  const medianOf = (field: 'cpuPercent' | 'bytesPerS' | 'residentMb'): number =>
    median(vms.map((vm) => vm[field]));
  const maxOf = (field: 'cpuPercent' | 'bytesPerS' | 'residentMb'): number =>
    Math.max(...vms.map((vm) => vm[field]));
  return {
    vmCpuPercent: medianOf('cpuPercent'),
    vmCpuPercentMax: maxOf('cpuPercent'),
    vmResidentMb: medianOf('residentMb'),
    vmResidentMbMax: maxOf('residentMb'),
    vmBytesPerS: medianOf('bytesPerS'),
    vmBytesPerSMax: maxOf('bytesPerS'),
    platformReadsPerS: perS('range'),
    platformWritesPerS: perS('txn'),
    platformLeaseCallsPerS: perS('lease'),
    platformWatchesOpen: counts.watchesOpen ?? 0,
    platformCpuPercent: platform?.cpuPercent ?? 0,
    platformBytesPerS: platform?.bytesPerS ?? 0,
  };
};

export default measureWindow;
