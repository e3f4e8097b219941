import type LogLine from './logLine';

/** What a VM believed at the time of a request was decided by changes this long before at most. */
const CONTEXT_MS = 15_000;
/** Changes of belief that decide what becomes of requests, by the first word of the event. */
const BELIEFS = ['group', 'primary', 'endpoint', 'link', 'store', 'vm', 'configuration', 'daemon'];

interface Explanation {
  /** The lines that name the request, in order. */
  life: LogLine[];
  /** Changes before it of what the VMs in question believed of its group, in order. */
  context: LogLine[];
}

const timeOf = (line: LogLine): number => Date.parse(line.at);
const byTime = (a: LogLine, b: LogLine): number => timeOf(a) - timeOf(b);
const isBelief = ({ event }: LogLine): boolean => BELIEFS.includes(event.split('.')[0] ?? '');

/**
 * Puts the life of one request together from the logs of several VMs: its own lines, and the changes
 * of belief before it on the VMs that decided, of its group or of no group in particular.
 */
const explainRequest = (lines: readonly LogLine[], request: string): Explanation => {
  const life = lines.filter((line) => line.request === request).sort(byTime);
  const [first] = life;
  const last = life.at(-1);
  if (!first || !last) return { life, context: [] };
  const vms = new Set(life.map(({ vm }) => vm));
  const groups = new Set(life.map(({ group }) => group));
  const context = lines.filter((line) => {
    const isNear = timeOf(line) >= timeOf(first) - CONTEXT_MS && timeOf(line) <= timeOf(last);
    const isOfGroup = line.group === undefined ? vms.has(line.vm) : groups.has(line.group);
    return isNear && isBelief(line) && isOfGroup;
  });
  return { life, context: context.sort(byTime) };
};

export default explainRequest;
