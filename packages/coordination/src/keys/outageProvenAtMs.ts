import isMajorityOf from './isMajorityOf';
import type ReachReport from './reachReport';

interface Answer {
  witness: string;
  /** Monotonic time of the asking VM just before it asked. */
  askedAtMs: number;
  report: ReachReport;
}

/** A witness that heard of the platform more recently does not count as cut off from it. */
const MIN_REACHED_AGE_MS = 1_200;
/** A witness that started later may have lost what it was told before. */
const MIN_UPTIME_MS = 5_000;

const counts = ({ report }: Answer, revision: number): boolean =>
  (report.reachedAgeMs === null || report.reachedAgeMs >= MIN_REACHED_AGE_MS) &&
  report.uptimeMs >= MIN_UPTIME_MS &&
  report.revision <= revision;

/**
 * The time up to which no withdrawal can be missing from a configuration at `revision`:
 * in each data centre a majority of the witnesses hears nothing of the platform and knows
 * nothing newer. A withdrawal is told to a majority of them before it is confirmed.
 */
const outageProvenAtMs = (
  witnessesByDataCentre: ReadonlyMap<string, readonly string[]>,
  answers: readonly Answer[],
  revision: number,
): number | undefined => {
  const counted = answers.filter((answer) => counts(answer, revision));
  const heard = new Set(counted.map(({ witness }) => witness));
  const witnesses = [...witnessesByDataCentre.values()];
  if (witnesses.length === 0 || !witnesses.every((ids) => isMajorityOf(heard, ids))) {
    return undefined;
  }
  return Math.min(...counted.map(({ askedAtMs }) => askedAtMs));
};

export default outageProvenAtMs;
