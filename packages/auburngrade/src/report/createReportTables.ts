import formatBudgetLeft from './formatBudgetLeft';
import formatDuration from './formatDuration';
import type RouteBurn from './routeBurn';
import type ServiceLevelReport from './serviceLevelReport';

/** A titled table, the same in text and HTML. */
interface ReportTable {
  title: string;
  columns: string[];
  rows: string[][];
}

const RATE_DECIMALS = 2;

const formatRate = (rate: number): string => rate.toFixed(RATE_DECIMALS);

const formatBudgetRow = (burn: RouteBurn): string[] => [
  burn.profile,
  burn.account,
  String(burn.availability.good),
  String(burn.availability.bad),
  String(burn.overRate),
  String(burn.callerErrors),
  formatBudgetLeft(burn.availability),
  formatBudgetLeft(burn.latency),
  formatBudgetLeft(burn.freshness),
  Object.entries(burn.ownFaults)
    .map(([code, count]) => `${code} ${count}`)
    .join(', '),
];

const formatWindowRows = (report: ServiceLevelReport): string[][] =>
  report.windows.flatMap(({ lengthMs, isCovered, routes }) =>
    routes.map((burn) => [
      `${formatDuration(lengthMs)}${isCovered ? '' : ' (not covered yet)'}`,
      burn.profile,
      burn.account,
      formatRate(burn.availability.rate),
      formatRate(burn.latency.rate),
      formatRate(burn.freshness.rate),
    ]),
  );

/** Arranges a report as tables. */
const createReportTables = (report: ServiceLevelReport): ReportTable[] => [
  {
    title: 'VMs that cannot be reached (their latest requests are missing below)',
    columns: ['VM', 'reason'],
    rows: report.unreachable.map(({ vm, message }) => [vm, message]),
  },
  {
    title: `Error budgets over the ${formatDuration(report.coveredMs)} that the samples cover`,
    columns: [
      'profile',
      'account',
      'ran',
      'own faults',
      'over the rate',
      'caller errors',
      'availability left',
      'latency left',
      'freshness left',
      'own faults by code',
    ],
    rows: report.whole.map(formatBudgetRow),
  },
  {
    title: 'Burn by window (1 uses the budget up exactly)',
    columns: ['window', 'profile', 'account', 'availability', 'latency', 'freshness'],
    rows: formatWindowRows(report),
  },
  {
    title: 'Pairs of windows that burn',
    columns: ['pair', 'threshold', 'profile/account'],
    rows: report.burning
      .filter(({ routes }) => routes.length > 0)
      .map(({ name, threshold, routes }) => [name, String(threshold), routes.join(', ')]),
  },
];

export default createReportTables;
