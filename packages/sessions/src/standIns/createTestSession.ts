import createSession from '../front/createSession';
import type GroupRouter from '../front/groupRouter';
import type SessionCall from '../front/sessionCall';
import type FleetConfiguration from '../seams/fleetConfiguration';
import type SessionStatement from '../seams/sessionStatement';
import type StatementResult from '../seams/statementResult';
import createAuctionsConfiguration from './createAuctionsConfiguration';

/** Creates a session on a caller's connection and a router of a test, which record what it sends them. */
const createTestSession = () => {
  const answers: string[] = [];
  const calls: (SessionCall & { sentValues: string })[] = [];
  const endedTransactions: number[] = [];
  const state = {
    configuration: createAuctionsConfiguration() as FleetConfiguration | undefined,
    result: undefined as StatementResult | undefined,
    isAcceptingSessions: true,
    isEnded: false,
    isRouterBroken: false,
    /** Added to the clock. */
    advancedMs: 0,
    /** While set, groups do not answer. */
    isGroupSilent: false,
    /** Has the group answer what it was last asked while it was silent. */
    answerOfGroup: (): void => undefined,
  };
  let lastId = 0;
  const router: Pick<GroupRouter, 'run' | 'endTransaction' | 'forgetTransaction'> = {
    run: async (call, values) => {
      calls.push({ ...call, sentValues: [...values].join() });
      if (state.isRouterBroken) throw new Error('broken');
      if (state.isGroupSilent)
        await new Promise<void>((resolve) => {
          state.answerOfGroup = resolve;
        });
      return (
        state.result ?? {
          kind: 'complete',
          rows: [],
          signature: `s-${call.requestId}`,
          position: { term: 1, number: calls.length },
        }
      );
    },
    endTransaction: (transaction) => endedTransactions.push(transaction),
    forgetTransaction: () => undefined,
  };
  const observed: string[][] = [];
  const heldStates: number[] = [];
  const created = createSession({
    connection: {
      accept: () => answers.push('accepted'),
      refuse: (code) => answers.push(`refused ${code}`),
      sendResult: (result, transactionState) =>
        answers.push(
          `${result.kind === 'refused' ? result.code : result.signature} ${transactionState}`,
        ),
      announceClose: (code) => answers.push(`closing ${code}`),
      completeAnnouncedRefusal: (transactionState) => answers.push(`completed ${transactionState}`),
      holdState: (byteCount) => heldStates.push(byteCount),
      close: () => answers.push('closed'),
    },
    router,
    log: { info: () => undefined, warn: () => undefined },
    nowMs: () => performance.now() + state.advancedMs,
    configuration: () => state.configuration,
    isAcceptingSessions: () => state.isAcceptingSessions,
    nextId: () => {
      lastId += 1;
      return lastId;
    },
    endSession: () => undefined,
    onStatement: ({ database, account, result }) => observed.push([database, account, result.kind]),
    onEnd: () => {
      state.isEnded = true;
    },
  });
  const { session } = created;
  const run = async (...statements: SessionStatement[]): Promise<void> => {
    statements.forEach((statement, index) => session.run(`q${index}`, statement));
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  };
  return {
    answers,
    heldStates,
    calls,
    endedTransactions,
    observed,
    state,
    ...created,
    run,
  };
};

export default createTestSession;
