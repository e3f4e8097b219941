import { toRefusal } from '@auburngrade/coordination';
import { expect } from 'chai';
import acquireInTerm from './acquireInTerm';
import type LentConnection from './lentConnection';

const SLOW_AFTER_MS = 20;
const LONG_MS = 60;

const pause = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

const start = () => {
  const seen = { closed: 0, released: 0, troubles: 0, isWatched: true };
  let endTerm = (): void => {};
  let give = (): void => {};
  let fail = (_error: Error): void => {};
  const count = (what: 'closed' | 'released' | 'troubles') => (): void => {
    seen[what] += 1;
  };
  const pooled = { connection: {}, discard: count('closed'), release: count('released') };
  const lent = acquireInTerm({
    acquire: () =>
      new Promise((resolve, reject) => {
        give = () => resolve(pooled as unknown as LentConnection);
        fail = reject;
      }),
    onTermOver: (listener) => {
      endTerm = listener;
      return () => {
        seen.isWatched = false;
      };
    },
    slowAfterMs: SLOW_AFTER_MS,
    onTrouble: count('troubles'),
  });
  return { seen, lent, endTerm: () => endTerm(), give: () => give(), fail: (e: Error) => fail(e) };
};

describe('a connection for use within one term', () => {
  it('is not waited for after the term, and goes back when it comes late', async () => {
    const { seen, lent, endTerm, give } = start();
    endTerm();
    expect(toRefusal(await lent.catch((error: unknown) => error))).to.include({
      verdict: 'notRun',
      code: 'noPrimary',
    });
    give();
    await pause(0);
    expect(seen.released).to.equal(1);
  });

  it('is closed when the term ends while it is used', async () => {
    const { seen, lent, endTerm, give } = start();
    give();
    await lent;
    endTerm();
    expect(seen.closed).to.equal(1);
  });

  it('raises no trouble when it is given back in time', async () => {
    const { seen, lent, give } = start();
    give();
    (await lent).release();
    await pause(LONG_MS);
    expect(seen).to.deep.equal({ closed: 0, released: 1, troubles: 0, isWatched: false });
  });

  it('raises trouble when its use is slow, or when there is none', async () => {
    const slow = start();
    slow.give();
    await pause(LONG_MS);
    expect(slow.seen.troubles).to.equal(1);
    const refused = start();
    refused.fail(new Error('refused'));
    await refused.lent.catch(() => {});
    expect(refused.seen).to.include({ troubles: 1, isWatched: false });
  });
});
