import type { MemberStatus } from '@auburngrade/coordination';
import { expect } from 'chai';
import createReadHedge from './createReadHedge';

const TIMEOUT_MS = 5_000;
const EARLY_HEDGE_LIMIT_MS = 500;

/** Starts a read of a member that answers polls or not; `end` answers the read. */
const start = (isAnswering: boolean) => {
  const observed = { polls: 0 };
  let end = (): void => {};
  const answer = new Promise<void>((resolve) => {
    end = resolve;
  });
  const groupClient = {
    hasReleasedSince: () => false,
    pollMember: async () => {
      observed.polls += 1;
      return isAnswering ? ({} as MemberStatus) : undefined;
    },
  };
  const hedge = createReadHedge(() => performance.now());
  const startedAtMs = performance.now();
  const request = { deadlineAtMs: startedAtMs + TIMEOUT_MS };
  const decided = hedge
    .isHedgeDue(groupClient, request, { member: 'waco-db', isSent: true }, answer)
    .then((isHedgeDue) => ({ isHedgeDue, afterMs: performance.now() - startedAtMs }));
  return { observed, end, decided };
};

describe('createReadHedge', () => {
  it('sends an unanswered read again soon when its member does not answer a poll either', async () => {
    const { isHedgeDue, afterMs } = await start(false).decided;
    expect(isHedgeDue).to.equal(true);
    expect(afterMs).to.be.below(EARLY_HEDGE_LIMIT_MS);
  });

  it('waits longer before a second read when the member answers polls', async () => {
    const { isHedgeDue, afterMs } = await start(true).decided;
    expect(isHedgeDue).to.equal(true);
    expect(afterMs).to.be.above(EARLY_HEDGE_LIMIT_MS);
  });

  it('neither repeats a read nor polls its member when the read is answered in time', async () => {
    const { observed, end, decided } = start(false);
    end();
    expect((await decided).isHedgeDue).to.equal(false);
    expect(observed.polls).to.equal(0);
  });
});
