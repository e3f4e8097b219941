import { expect } from 'chai';
import sleep from '../time/sleep';
import createShutdown from './createShutdown';

type Options = Parameters<typeof createShutdown>[0];
type Session = Options['sessions'] extends ReadonlySet<infer S> ? S : never;

const GRACE_MS = 6_000;
const SPEED = 5;

/** A shutdown on a clock that runs five times as fast as the timers. */
const createFixture = (changes: Partial<Options> = {}) => {
  const events: string[] = [];
  const sessions = new Set<Session>();
  const owned = new Set<string>();
  const server = {
    openWork: 0,
    countOpenTransactions: () => server.openWork,
    inFlight: 0,
    countInFlight: () => server.inFlight,
    close: () => {
      events.push('server closed');
    },
  };
  const startedAtMs = performance.now();
  const nowMs = (): number => (performance.now() - startedAtMs) * SPEED;
  const at = (): number => Math.round(nowMs());
  const shutdown = createShutdown({
    graceMs: GRACE_MS,
    log: { info: (event) => events.push(event), warn: () => undefined },
    nowMs,
    sessions,
    groupServers: () => [server],
    ownedGroups: () => [...owned],
    handOver: async (group) => {
      events.push(`handed over ${group}`);
      owned.delete(group);
    },
    leaveFleet: async () => {
      events.push('left the fleet');
    },
    closeLinkServer: async () => {
      events.push('links closed');
    },
    ...changes,
  });
  /** Adds the only session, which is closed by the given calls only. */
  const addSession = (...closedBy: (keyof Session)[]) => {
    const calls = new Map<string, number>();
    const note = (name: keyof Session): void => {
      if (!calls.has(name)) calls.set(name, at());
      if (closedBy.includes(name)) sessions.clear();
    };
    sessions.add({
      closeIfIdle: () => note('closeIfIdle'),
      closeBetweenStatements: () => note('closeBetweenStatements'),
      stop: () => note('stop'),
      abort: () => note('abort'),
    });
    return calls;
  };
  return { events, sessions, owned, server, at, shutdown, addSession };
};

describe('createShutdown', () => {
  it('stays while the load balancer may still send callers, also without any session', async () => {
    const { shutdown, at } = createFixture();
    const running = shutdown.run();
    await sleep(50);
    expect(shutdown.isAcceptingSessions()).to.equal(true);
    await running;
    expect(at()).to.be.above(2_200);
  });

  it('accepts no session any more once it has stopped waiting for work', async () => {
    const accepted: boolean[] = [];
    const { shutdown } = createFixture({
      leaveFleet: async () => {
        accepted.push(shutdown.isAcceptingSessions(), !shutdown.isDrained());
      },
    });
    await shutdown.run();
    expect(accepted).to.deep.equal([false, false]);
  });

  it('closes idle sessions when the balancer knows, and all between statements at half of the grace', async () => {
    const { shutdown, addSession } = createFixture();
    const calls = addSession('closeBetweenStatements');
    await shutdown.run();
    expect(calls.get('closeIfIdle')).to.be.within(2_200, GRACE_MS / 2);
    expect(calls.get('closeBetweenStatements')).to.be.within(GRACE_MS / 2, GRACE_MS * 0.85);
    expect(calls.has('stop')).to.equal(false);
  });

  it('answers what is under way, here and at other VMs, in the last sixth of the grace only', async () => {
    // Long, so that the waiting steps of the shutdown are small beside it.
    const graceMs = 20_000;
    const { shutdown, addSession, server, events } = createFixture({ graceMs });
    server.openWork = 1;
    const calls = addSession('stop');
    await shutdown.run();
    expect(calls.get('stop')).to.be.above((graceMs * 5) / 6);
    expect(events).to.deep.equal([
      'daemon.drained',
      'server closed',
      'left the fleet',
      'links closed',
      'daemon.stopped',
    ]);
  });

  it('cuts a caller that does not disconnect only after the last answers', async () => {
    const { shutdown, addSession, sessions } = createFixture();
    const calls = addSession('abort');
    await shutdown.run();
    expect(calls.get('abort')).to.be.above(calls.get('stop') ?? Infinity);
    expect(sessions.size).to.equal(0);
  });

  it('waits for statements of other VMs that are under way here', async () => {
    const { shutdown, server, at } = createFixture();
    server.inFlight = 1;
    setTimeout(() => {
      server.inFlight = 0;
    }, 700);
    await shutdown.run();
    expect(at()).to.be.within(700 * SPEED, GRACE_MS);
  });

  it('hands over a group that another VM handed to it meanwhile', async () => {
    const { shutdown, owned, events, at } = createFixture();
    owned.add('lots');
    setTimeout(() => owned.add('bids'), 200);
    await shutdown.run();
    expect(events.slice(0, 2)).to.deep.equal(['handed over lots', 'handed over bids']);
    expect(at()).to.be.below(GRACE_MS / 2);
  });

  it('offers a group again until there is a successor, and serves it meanwhile', async () => {
    const offeredAtMs: number[] = [];
    const { shutdown, owned, at } = createFixture({
      handOver: async () => {
        offeredAtMs.push(at());
        if (at() > GRACE_MS / 2) owned.clear();
      },
    });
    owned.add('lots');
    await shutdown.run();
    expect(offeredAtMs.length).to.be.within(5, 14);
    expect(at()).to.be.within(GRACE_MS / 2, GRACE_MS * 0.85);
  });

  it('lets callers disconnect by themselves at the end', async () => {
    const { shutdown, addSession, sessions } = createFixture();
    const calls = addSession();
    const leaving = setInterval(() => {
      if (calls.has('stop')) setTimeout(() => sessions.clear(), 100);
    }, 5);
    await shutdown.run();
    clearInterval(leaving);
    expect(calls.has('abort')).to.equal(false);
  });

  it('leaves time for the last answers in a short grace', async () => {
    const { shutdown, addSession } = createFixture({
      graceMs: 2_000,
      nowMs: () => performance.now(),
    });
    const startedAtMs = performance.now();
    let stoppedAtMs = 0;
    const calls = addSession();
    const watching = setInterval(() => {
      if (calls.has('stop') && stoppedAtMs === 0) stoppedAtMs = performance.now() - startedAtMs;
    }, 5);
    await shutdown.run();
    clearInterval(watching);
    expect(stoppedAtMs).to.be.within(900, 1_300);
  });

  it('closes idle sessions while the handover of a group waits for the store', async () => {
    const { shutdown, addSession, owned } = createFixture({
      handOver: () => new Promise(() => {}),
    });
    owned.add('lots');
    const calls = addSession('closeIfIdle');
    await shutdown.run();
    expect(calls.get('closeIfIdle')).to.be.below(GRACE_MS / 2);
  });
});
