import { expect } from 'chai';
import createIsolation from './createIsolation';

const createFixture = () => {
  const state = { nowMs: 0, served: new Set(['lots']), isBusy: true };
  const closed: string[] = [];
  type Session =
    Parameters<typeof createIsolation>[0]['sessions'] extends ReadonlySet<infer S> ? S : never;
  const sessions = new Set<Session>();
  const add = (name: string, isIdle: () => boolean): void => {
    const session = {
      closeIfIdle: () => {
        if (!isIdle()) return;
        closed.push(name);
        sessions.delete(session);
      },
    } as Session;
    sessions.add(session);
  };
  const isolation = createIsolation({
    sessions,
    log: { info: () => undefined, warn: () => undefined },
    nowMs: () => state.nowMs,
    groups: () => new Set(['lots', 'bids']),
    servedGroups: () => state.served,
    isStoreReached: () => true,
  });
  const passTo = (untilMs: number): void => {
    for (; state.nowMs <= untilMs; state.nowMs += 250) isolation.observe();
  };
  return { state, closed, add, isolation, passTo };
};

describe('createIsolation', () => {
  it('holds a VM for connected that can serve one group of several', () => {
    const { isolation, passTo } = createFixture();
    passTo(5_000);
    expect(isolation.isIsolated()).to.equal(false);
  });

  it('closes sessions once the balancer knows, busy ones when they are idle, later ones never', () => {
    const { state, closed, add, isolation, passTo } = createFixture();
    add('idle', () => true);
    add('busy', () => !state.isBusy);
    passTo(2_000);
    state.served = new Set();
    passTo(3_000);
    expect(isolation.isIsolated()).to.equal(true);
    expect(closed).to.deep.equal([]);
    expect(isolation.isLeft()).to.equal(false);
    passTo(5_000);
    expect(isolation.isLeft()).to.equal(true);
    expect(closed).to.deep.equal(['idle']);
    add('later', () => true);
    state.isBusy = false;
    passTo(5_500);
    expect(closed).to.deep.equal(['idle', 'busy']);
  });

  it('is connected again with the first group in reach', () => {
    const { state, isolation, passTo } = createFixture();
    passTo(2_000);
    state.served = new Set();
    passTo(3_000);
    expect(isolation.isIsolated()).to.equal(true);
    state.served = new Set(['bids']);
    passTo(3_250);
    expect(isolation.isIsolated()).to.equal(false);
  });
});
