import { readFileSync } from 'node:fs';
import type ProcessUsage from './processUsage';

const CLOCK_TICK_MS = 10;
const KB_PER_MB = 1024;
/** Fields 14 and 15 of /proc/<pid>/stat, counted from the field after the command. */
const USER_TIME_INDEX = 11;
const SYSTEM_TIME_INDEX = 12;

const numberAfter = (text: string, name: string): number =>
  Number(new RegExp(`^${name}:\\s+(\\d+)`, 'm').exec(text)?.[1] ?? 0);

/** Reads what a process has used from /proc. */
const readProcessUsage = (pid: number): ProcessUsage => {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const io = readFileSync(`/proc/${pid}/io`, 'utf8');
  const ticks = Number(fields[USER_TIME_INDEX]) + Number(fields[SYSTEM_TIME_INDEX]);
  return {
    cpuMs: ticks * CLOCK_TICK_MS,
    residentMb: numberAfter(readFileSync(`/proc/${pid}/status`, 'utf8'), 'VmRSS') / KB_PER_MB,
    ioBytes: numberAfter(io, 'rchar') + numberAfter(io, 'wchar'),
  };
};

export default readProcessUsage;
