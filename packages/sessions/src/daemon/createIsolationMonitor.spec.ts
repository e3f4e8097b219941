import { expect } from 'chai';
import createIsolationMonitor from './createIsolationMonitor';

const createFixture = () => {
  const state = { nowMs: 0, served: new Set(['lots']), isBusy: true };
  const closed: string[] = [];
  type Session =
    Parameters<typeof createIsolationMonitor>[0]['sessions'] extends ReadonlySet<infer S>
      ? S
      : never;
  const sessions = new Set<Session>();
  const addSession = (name: string, isIdle: () => boolean): void => {
    const session = {
      closeIfIdle: () => {
        if (!isIdle()) return;
        closed.push(name);
        sessions.delete(session);
      },
    } as unknown as Session;
    sessions.add(session);
  };
  const monitor = createIsolationMonitor({
    sessions,
    log: { info: () => undefined, warn: () => undefined },
    nowMs: () => state.nowMs,
    groups: () => new Set(['lots', 'bids']),
    servedGroups: () => state.served,
    isStoreWatched: () => true,
  });
  const observeUntil = (untilMs: number): void => {
    for (; state.nowMs <= untilMs; state.nowMs += 250) monitor.observe();
  };
  return { state, closed, addSession, monitor, observeUntil };
};

describe('createIsolationMonitor', () => {
  it('does not report a VM as isolated that can serve one group of several', () => {
    const { monitor, observeUntil } = createFixture();
    observeUntil(5_000);
    expect(monitor.isIsolated()).to.equal(false);
  });

  it('closes sessions once the load balancer removed the VM: busy ones when idle, later ones never', () => {
    const { state, closed, addSession, monitor, observeUntil } = createFixture();
    addSession('idle', () => true);
    addSession('busy', () => !state.isBusy);
    observeUntil(2_000);
    state.served = new Set();
    observeUntil(3_000);
    expect(monitor.isIsolated()).to.equal(true);
    expect(closed).to.deep.equal([]);
    expect(monitor.isRemovedFromBalancer()).to.equal(false);
    observeUntil(5_000);
    expect(monitor.isRemovedFromBalancer()).to.equal(true);
    expect(closed).to.deep.equal(['idle']);
    addSession('later', () => true);
    state.isBusy = false;
    observeUntil(5_500);
    expect(closed).to.deep.equal(['idle', 'busy']);
  });

  it('is no longer isolated once one group can be served again', () => {
    const { state, monitor, observeUntil } = createFixture();
    observeUntil(2_000);
    state.served = new Set();
    observeUntil(3_000);
    expect(monitor.isIsolated()).to.equal(true);
    state.served = new Set(['bids']);
    observeUntil(3_250);
    expect(monitor.isIsolated()).to.equal(false);
  });
});
