import { Verdict, type Outcome } from '@auburngrade/caller';
import formatFields from './output/formatFields';
import formatTable from './output/formatTable';

/** Formats the outcome of a statement as text. */
const formatOutcome = (outcome: Outcome): string => {
  const { rows, refusal, servedBy } = outcome;
  const table = rows?.columns.length
    ? formatTable(
        rows.columns,
        rows.rows.map(({ cells }) => cells.map(({ text }) => text ?? 'NULL')),
      )
    : undefined;
  const fields = formatFields({
    verdict: Verdict[outcome.verdict],
    code: refusal?.code,
    message: refusal?.message,
    retryAfterMs: refusal?.retryAfterMs || undefined,
    requestId: outcome.requestId,
    servedBy: servedBy && `${servedBy.role} ${servedBy.endpoint} by ${servedBy.vm}`,
    session: outcome.sessionToken,
  });
  return table === undefined ? fields : `${table}\n\n${fields}`;
};

export default formatOutcome;
