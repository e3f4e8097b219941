import containsMajorityOf from './containsMajorityOf';
import type PlatformReachReport from './platformReachReport';

interface WitnessAnswer {
  witness: string;
  /** Time just before the request was sent, on the requesting VM's monotonic clock. */
  askedAtMs: number;
  report: PlatformReachReport;
}

/** A witness that heard from the platform more recently does not prove an outage. */
const MIN_REACHED_AGE_MS = 1_200;
/** A witness with a shorter uptime may have lost a withdrawal notice in its restart. */
const MIN_UPTIME_MS = 5_000;

const provesOutage = ({ report }: WitnessAnswer, revision: number): boolean =>
  (report.reachedAgeMs === null || report.reachedAgeMs >= MIN_REACHED_AGE_MS) &&
  report.uptimeMs >= MIN_UPTIME_MS &&
  report.revision <= revision;

/**
 * Returns the time up to which no key withdrawal can be missing from a configuration at
 * `revision`, or undefined if that is not proven. It is proven if in each data centre a majority
 * of the witnesses has not heard from the platform and knows no later revision: a withdrawal is
 * confirmed only after a majority of one data centre's witnesses was notified.
 */
const computeOutageProvenAtMs = (
  witnessesByDataCentre: ReadonlyMap<string, readonly string[]>,
  answers: readonly WitnessAnswer[],
  revision: number,
): number | undefined => {
  const validAnswers = answers.filter((answer) => provesOutage(answer, revision));
  const answeringWitnesses = new Set(validAnswers.map(({ witness }) => witness));
  const witnessGroups = [...witnessesByDataCentre.values()];
  if (
    witnessGroups.length === 0 ||
    !witnessGroups.every((ids) => containsMajorityOf(answeringWitnesses, ids))
  ) {
    return undefined;
  }
  return Math.min(...validAnswers.map(({ askedAtMs }) => askedAtMs));
};

export default computeOutageProvenAtMs;
