import type LogLine from './logLine';

/** State changes up to this long before a request count as its context. */
const CONTEXT_PERIOD_MS = 15_000;
/** Events whose state changes affect the outcome of requests, by the first word of the event name. */
const CONTEXT_EVENT_PREFIXES = [
  'group',
  'primary',
  'endpoint',
  'link',
  'store',
  'vm',
  'configuration',
  'evacuation',
  'daemon',
];

interface Explanation {
  /** Lines that name the request, in chronological order. */
  life: LogLine[];
  /** State changes that may have affected the request, in chronological order. */
  context: LogLine[];
}

const parseTimeMs = (line: LogLine): number => Date.parse(line.at);
const compareTime = (a: LogLine, b: LogLine): number => parseTimeMs(a) - parseTimeMs(b);
const isContextEvent = ({ event }: LogLine): boolean =>
  CONTEXT_EVENT_PREFIXES.includes(event.split('.')[0] ?? '');

/**
 * Collects the log lines of one request from the logs of several VMs, and the state changes before
 * and during it: those of its groups on any VM, and those without a group on the VMs that logged it.
 */
const explainRequest = (lines: readonly LogLine[], request: string): Explanation => {
  const life = lines.filter((line) => line.request === request).sort(compareTime);
  const [first] = life;
  const last = life.at(-1);
  if (!first || !last) return { life, context: [] };
  const vms = new Set(life.map(({ vm }) => vm));
  const groups = new Set(life.map(({ group }) => group));
  const context = lines.filter((line) => {
    const isInPeriod =
      parseTimeMs(line) >= parseTimeMs(first) - CONTEXT_PERIOD_MS &&
      parseTimeMs(line) <= parseTimeMs(last);
    const isRelated = line.group === undefined ? vms.has(line.vm) : groups.has(line.group);
    return isInPeriod && isContextEvent(line) && isRelated;
  });
  return { life, context: context.sort(compareTime) };
};

export default explainRequest;
