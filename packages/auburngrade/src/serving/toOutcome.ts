import { encodeSessionToken, type Refusal, type StatementOutcome } from '@auburngrade/coordination';
import { Outcome, Verdict } from '@auburngrade/caller';

const VERDICT_CODES = { notRun: Verdict.NOT_RUN, mayHaveRun: Verdict.MAY_HAVE_RUN } as const;

type RequestResult =
  { kind: 'ran'; outcome: StatementOutcome } | { kind: 'refused'; refusal: Refusal };

/** Builds the reply to a caller. A refusal returns `sessionToken` unchanged. */
const toOutcome = (requestId: string, sessionToken: string, result: RequestResult): Outcome => {
  if (result.kind === 'refused') {
    const { verdict, code, message, retryAfterMs } = result.refusal;
    return Outcome.fromPartial({
      requestId,
      sessionToken,
      verdict: VERDICT_CODES[verdict],
      refusal: { code, message, retryAfterMs: retryAfterMs ?? 0 },
    });
  }
  const { rows, servedBy, sessionToken: token } = result.outcome;
  return Outcome.fromPartial({
    requestId,
    sessionToken: encodeSessionToken(token),
    verdict: Verdict.RAN,
    servedBy,
    rows: {
      columns: rows.columns,
      command: rows.command,
      rowCount: rows.rowCount,
      rows: rows.rows.map((cells) => ({
        cells: cells.map((text) => ({ text: text ?? undefined })),
      })),
    },
  });
};

export default toOutcome;
