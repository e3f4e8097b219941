import { encodeSessionToken, type Refusal, type StatementOutcome } from '@auburngrade/coordination';
import { Outcome, Verdict } from '@auburngrade/caller';

const VERDICTS = { notRun: Verdict.NOT_RUN, mayHaveRun: Verdict.MAY_HAVE_RUN } as const;

type Answer = { kind: 'ran'; outcome: StatementOutcome } | { kind: 'refused'; refusal: Refusal };

/** Builds the message that a caller gets. `sessionToken` is returned unchanged with a refusal. */
const toOutcome = (requestId: string, sessionToken: string, answer: Answer): Outcome => {
  if (answer.kind === 'refused') {
    const { verdict, code, message, retryAfterMs } = answer.refusal;
    return Outcome.fromPartial({
      requestId,
      sessionToken,
      verdict: VERDICTS[verdict],
      refusal: { code, message, retryAfterMs: retryAfterMs ?? 0 },
    });
  }
  const { rows, servedBy, sessionToken: token } = answer.outcome;
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
