import { Verdict, type Outcome, type createCallerClient } from '@auburngrade/caller';

type Transaction = ReturnType<ReturnType<typeof createCallerClient>['transact']>;
type Step = Parameters<Transaction['step']>[0];
type Begin = Extract<Step, { $case: 'begin' }>['begin'];

/** What was sent and what came of it. */
interface StepOutcome {
  step: string;
  outcome: Outcome;
}

/**
 * Runs statements as one transaction: commits when all ran, else rolls back after the first
 * that did not. Gives the outcome of each step that was sent, in order.
 *
 * @throws Error when the stream ends without a reply; the commit may then have run.
 */
const runTransaction = async (
  transaction: Transaction,
  begin: Begin,
  statements: readonly string[],
): Promise<StepOutcome[]> => {
  const outcomes: StepOutcome[] = [];

  const send = async (name: string, body: Step): Promise<boolean> => {
    const { outcome } = await transaction.step(body);
    if (!outcome) throw new Error(`no outcome of ${name}`);
    outcomes.push({ step: name, outcome });
    return outcome.verdict === Verdict.RAN;
  };

  const sendStatements = async (): Promise<boolean> => {
    for (const sql of statements) {
      const statement = { sql, parameters: [] };
      if (!(await send(sql, { $case: 'statement', statement }))) return false;
    }
    return true;
  };

  if (await send('begin', { $case: 'begin', begin })) {
    if (await sendStatements()) await send('commit', { $case: 'commit', commit: {} });
    else await transaction.step({ $case: 'rollback', rollback: {} }).catch(() => {});
  }
  transaction.end();
  return outcomes;
};

export default runTransaction;
