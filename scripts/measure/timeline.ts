import type { LoadRecord } from '@auburngrade/testkit';

interface TimelinePoint {
  atMs: number;
  ran: number;
  notRan: number;
}

const STEP_MS = 250;

/** Counts requests by the time at which they were sent. */
const timeline = (records: LoadRecord[], elapsedMs: number): TimelinePoint[] => {
  const points = Array.from({ length: Math.ceil(elapsedMs / STEP_MS) }, (_, index) => ({
    atMs: index * STEP_MS,
    ran: 0,
    notRan: 0,
  }));
  records.forEach(({ atMs, verdict }) => {
    const point = points[Math.floor(atMs / STEP_MS)];
    if (!point) return;
    if (verdict === 'ran') point.ran += 1;
    else point.notRan += 1;
  });
  return points;
};

export default timeline;
