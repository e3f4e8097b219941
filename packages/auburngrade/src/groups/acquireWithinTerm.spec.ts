import { toRefusal } from '@auburngrade/coordination';
import { expect } from 'chai';
import acquireWithinTerm from './acquireWithinTerm';
import type CheckedOutConnection from './checkedOutConnection';

const SLOW_AFTER_MS = 20;
const PAST_SLOW_MS = 60;

const pause = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

const start = () => {
  const seen = { closed: 0, released: 0, slowOrFailed: 0, isSubscribed: true };
  let supersedeTerm = (): void => {};
  let give = (): void => {};
  let fail = (_error: Error): void => {};
  const count = (what: 'closed' | 'released' | 'slowOrFailed') => (): void => {
    seen[what] += 1;
  };
  const pooled = { connection: {}, discard: count('closed'), release: count('released') };
  const acquired = acquireWithinTerm({
    acquire: () =>
      new Promise((resolve, reject) => {
        give = () => resolve(pooled as unknown as CheckedOutConnection);
        fail = reject;
      }),
    onTermSuperseded: (listener) => {
      supersedeTerm = listener;
      return () => {
        seen.isSubscribed = false;
      };
    },
    slowAfterMs: SLOW_AFTER_MS,
    onSlowOrFailed: count('slowOrFailed'),
  });
  return {
    seen,
    acquired,
    supersedeTerm: () => supersedeTerm(),
    give: () => give(),
    fail: (e: Error) => fail(e),
  };
};

describe('acquireWithinTerm', () => {
  it('rejects when the term is superseded, and releases a connection that arrives later', async () => {
    const { seen, acquired, supersedeTerm, give } = start();
    supersedeTerm();
    expect(toRefusal(await acquired.catch((error: unknown) => error))).to.include({
      verdict: 'notRun',
      code: 'noPrimary',
    });
    give();
    await pause(0);
    expect(seen.released).to.equal(1);
  });

  it('discards a connection in use when the term is superseded', async () => {
    const { seen, acquired, supersedeTerm, give } = start();
    give();
    await acquired;
    supersedeTerm();
    expect(seen.closed).to.equal(1);
  });

  it('does not report a connection that is released in time', async () => {
    const { seen, acquired, give } = start();
    give();
    (await acquired).release();
    await pause(PAST_SLOW_MS);
    expect(seen).to.deep.equal({
      closed: 0,
      released: 1,
      slowOrFailed: 0,
      isSubscribed: false,
    });
  });

  it('reports slow use, and a failure to acquire a connection', async () => {
    const slow = start();
    slow.give();
    await pause(PAST_SLOW_MS);
    expect(slow.seen.slowOrFailed).to.equal(1);
    const refused = start();
    refused.fail(new Error('refused'));
    await refused.acquired.catch(() => {});
    expect(refused.seen).to.include({ slowOrFailed: 1, isSubscribed: false });
  });
});
