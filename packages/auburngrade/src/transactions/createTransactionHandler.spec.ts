import { AccessMode, TransactionBegin, Verdict, type TransactionReply } from '@auburngrade/caller';
import { createWorkTracker } from '@auburngrade/coordination';
import { expect } from 'chai';
import createTransactionHandler from './createTransactionHandler';
import type Transaction from './transaction';

type Options = Parameters<typeof createTransactionHandler>[0];

const BEGIN = {
  step: 1,
  body: {
    $case: 'begin' as const,
    begin: TransactionBegin.fromPartial({
      profile: 'bids',
      group: 'auctions',
      accessMode: AccessMode.WRITE,
      timeoutMs: 5_000,
    }),
  },
};
const COMMIT = { step: 2, body: { $case: 'commit' as const, commit: {} } };

const describeReply = ({ outcome }: TransactionReply): string =>
  `${Verdict[outcome?.verdict ?? 0]} ${outcome?.refusal?.code ?? ''}`.trim();

/** A handler over a transaction that never answers a commit. */
const createFixture = () => {
  const tracker = createWorkTracker();
  const calls: string[] = [];
  const never = (name: string) => (): Promise<never> => {
    calls.push(name);
    return new Promise(() => {});
  };
  const transaction: Transaction = {
    run: never('run'),
    commit: never('commit'),
    rollback: never('rollback'),
    abort: () => calls.push('abort'),
  };
  const options = {
    settings: { vm: 'waco-1', requests: { maxTimeoutMs: 30_000, maxStatementBytes: 1_000 } },
    authenticator: { authenticate: () => ({ account: 'ranch', keyHash: 'hash' }) },
    admission: { admit: async () => {} },
    begin: async () => transaction,
    beginWork: tracker.startWork,
    onCutOff: tracker.onCutOff,
    awaitConfiguration: async () => {},
    onKeysChanged: () => () => {},
    nowMs: () => performance.now(),
  } as unknown as Options;
  return { tracker, calls, handler: createTransactionHandler(options, 'key') };
};

describe('createTransactionHandler', () => {
  describe('when the VM stops waiting for work', () => {
    it('answers a commit under way as possibly run', async () => {
      const { tracker, calls, handler } = createFixture();
      expect(describeReply(await handler.step(BEGIN))).to.equal('RAN');
      const reply = handler.step(COMMIT);
      tracker.cutOff();
      expect(describeReply(await reply)).to.equal('MAY_HAVE_RUN outcomeUnknown');
      expect(calls[0]).to.equal('commit');
      expect(tracker.getActiveCount()).to.equal(0);
    });

    it('rolls an idle transaction back, and passes no commit on any more', async () => {
      const { tracker, calls, handler } = createFixture();
      expect(describeReply(await handler.step(BEGIN))).to.equal('RAN');
      tracker.cutOff();
      expect(describeReply(await handler.step(COMMIT))).to.equal('NOT_RUN transactionAborted');
      expect(calls).to.deep.equal(['abort']);
      expect(tracker.getActiveCount()).to.equal(0);
    });
  });
});
