import type { MemberStatus } from '@auburngrade/coordination';
import { expect } from 'chai';
import createReadHedge from './createReadHedge';

const TIMEOUT_MS = 5_000;
const SOON_MS = 500;

/** Begins a read of a member that answers polls or not; `end` answers the read. */
const start = (isAnswering: boolean) => {
  const seen = { polls: 0 };
  let end = (): void => {};
  const answer = new Promise<void>((resolve) => {
    end = resolve;
  });
  const holder = {
    isServingSince: () => false,
    pollMember: async () => {
      seen.polls += 1;
      return isAnswering ? ({} as MemberStatus) : undefined;
    },
  };
  const hedge = createReadHedge(() => performance.now());
  const startedAtMs = performance.now();
  const request = { deadlineAtMs: startedAtMs + TIMEOUT_MS };
  const decided = hedge
    .isStuck(holder, request, { member: 'waco-db', isSent: true }, answer)
    .then((isStuck) => ({ isStuck, afterMs: performance.now() - startedAtMs }));
  return { seen, end, decided };
};

describe('a read without an answer', () => {
  it('is sent again soon when its member does not answer a poll either', async () => {
    const { isStuck, afterMs } = await start(false).decided;
    expect(isStuck).to.equal(true);
    expect(afterMs).to.be.below(SOON_MS);
  });

  it('is given more time when its member answers', async () => {
    const { isStuck, afterMs } = await start(true).decided;
    expect(isStuck).to.equal(true);
    expect(afterMs).to.be.above(SOON_MS);
  });

  it('is not sent again, and its member not polled, when it is answered in time', async () => {
    const { seen, end, decided } = start(false);
    end();
    expect((await decided).isStuck).to.equal(false);
    expect(seen.polls).to.equal(0);
  });
});
