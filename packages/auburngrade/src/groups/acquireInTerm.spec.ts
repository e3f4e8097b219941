import { toRefusal } from '@auburngrade/coordination';
import { expect } from 'chai';
import acquireInTerm from './acquireInTerm';
import type LentConnection from './lentConnection';

const SLOW_AFTER_MS = 20;
const PAST_SLOW_MS = 60;

const pause = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

const start = () => {
  const observed = { closed: 0, released: 0, slowOrFailed: 0, isSubscribed: true };
  let supersedeTerm = (): void => {};
  let provide = (): void => {};
  let fail = (_error: Error): void => {};
  const count = (what: 'closed' | 'released' | 'slowOrFailed') => (): void => {
    observed[what] += 1;
  };
  const pooled = { connection: {}, discard: count('closed'), release: count('released') };
  const acquired = acquireInTerm({
    acquire: () =>
      new Promise((resolve, reject) => {
        provide = () => resolve(pooled as unknown as LentConnection);
        fail = reject;
      }),
    onTermSuperseded: (listener) => {
      supersedeTerm = listener;
      return () => {
        observed.isSubscribed = false;
      };
    },
    slowAfterMs: SLOW_AFTER_MS,
    onSlowOrFailed: count('slowOrFailed'),
  });
  return {
    observed,
    acquired,
    supersedeTerm: () => supersedeTerm(),
    provide: () => provide(),
    fail: (e: Error) => fail(e),
  };
};

describe('acquireWithinTerm', () => {
  it('rejects when the term is superseded, and releases a connection that arrives later', async () => {
    const { observed, acquired, supersedeTerm, provide } = start();
    supersedeTerm();
    expect(toRefusal(await acquired.catch((error: unknown) => error))).to.include({
      verdict: 'notRun',
      code: 'noPrimary',
    });
    provide();
    await pause(0);
    expect(observed.released).to.equal(1);
  });

  it('discards a connection in use when the term is superseded', async () => {
    const { observed, acquired, supersedeTerm, provide } = start();
    provide();
    await acquired;
    supersedeTerm();
    expect(observed.closed).to.equal(1);
  });

  it('does not report a connection that is released in time', async () => {
    const { observed, acquired, provide } = start();
    provide();
    (await acquired).release();
    await pause(PAST_SLOW_MS);
    expect(observed).to.deep.equal({
      closed: 0,
      released: 1,
      slowOrFailed: 0,
      isSubscribed: false,
    });
  });

  it('reports slow use, and a failure to acquire a connection', async () => {
    const slow = start();
    slow.provide();
    await pause(PAST_SLOW_MS);
    expect(slow.observed.slowOrFailed).to.equal(1);
    const refused = start();
    refused.fail(new Error('refused'));
    await refused.acquired.catch(() => {});
    expect(refused.observed).to.include({ slowOrFailed: 1, isSubscribed: false });
  });
});
