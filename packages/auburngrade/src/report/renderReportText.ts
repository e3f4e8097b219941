import formatTable from '../commands/output/formatTable';
import createReportTables from './createReportTables';
import type ServiceLevelReport from './serviceLevelReport';

/** Renders a report as text. */
const renderReportText = (report: ServiceLevelReport): string =>
  createReportTables(report)
    .map(({ title, columns, rows }) =>
      rows.length === 0 ? `${title}: none` : `${title}\n${formatTable(columns, rows)}`,
    )
    .join('\n\n');

export default renderReportText;
