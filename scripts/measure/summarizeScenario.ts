import type { LoadRecord } from '@auburngrade/testkit';
import median from '../measurement/median';
import type MeasuredAccount from './measuredAccount';

const MS_PER_S = 1_000;
const HIGH_PERCENTILE_RATIO = 0.99;

const ratio = (part: number, whole: number): number => (whole === 0 ? 0 : part / whole);

const highPercentileMs = (records: LoadRecord[]): number => {
  const sorted = records.map(({ latencyMs }) => latencyMs).sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length * HIGH_PERCENTILE_RATIO)] ?? 0;
};

/** Works out the measures of one scenario from its records. */
const summarizeScenario = (
  records: LoadRecord[],
  accounts: MeasuredAccount[],
  gaps: number[],
  firstAccountFactor: number,
  elapsedMs: number,
) => {
  const isRan = ({ verdict }: LoadRecord): boolean => verdict === 'ran';
  const reads = records.filter((record) => record.kind === 'read' && isRan(record));
  const shares = accounts.map(({ name, ratePerS }, index) => {
    const own = records.filter(({ account }) => account === name);
    const isOver = index === 0 && firstAccountFactor > 1;
    const fair = isOver ? (ratePerS * elapsedMs) / MS_PER_S : own.length;
    const ran = own.filter(isRan);
    return { name, isOver, share: ratio(ran.length, fair), p99Ms: highPercentileMs(ran) };
  });
  const inside = shares.filter(({ isOver }) => !isOver);
  const worst = inside.reduce((low, next) => (next.share < low.share ? next : low));
  const insideRecords = records.filter(({ account }) =>
    inside.some(({ name }) => name === account),
  );
  const refused = insideRecords.filter(({ verdict }) => verdict === 'notRun');
  const codes: Record<string, number> = {};
  records
    .filter((record) => !isRan(record))
    .forEach(({ verdict, code }) => {
      const name = code === '' ? verdict : `${verdict}/${code}`;
      codes[name] = (codes[name] ?? 0) + 1;
    });
  return {
    sent: records.length,
    ranPerS: ratio(records.filter(isRan).length * MS_PER_S, elapsedMs),
    replicaShare: ratio(
      reads.filter(({ servedByRole }) => servedByRole === 'replica').length,
      reads.length,
    ),
    gapMedianMs: median(gaps),
    gapWorstMs: Math.max(0, ...gaps),
    vmsRecovered: gaps.length,
    worstAccount: worst.name,
    worstAccountShare: worst.share,
    worstAccountP99Ms: Math.max(...inside.map(({ p99Ms }) => p99Ms)),
    overRateAccountShare: shares.find(({ isOver }) => isOver)?.share ?? 0,
    wrongfulRefusals: refused.length,
    wrongfulRefusalRatio: ratio(refused.length, insideRecords.length),
    mayHaveRun: records.filter(({ verdict }) => verdict === 'mayHaveRun').length,
    noAnswer: records.filter(({ verdict }) => verdict === 'noAnswer').length,
    codes,
  };
};

export default summarizeScenario;
