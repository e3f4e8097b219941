import { setTimeout as sleep } from 'node:timers/promises';
import { createConfigurationState, type ConfigurationState } from '@auburngrade/coordination';
import type { ConfigurationUpdate } from '@auburngrade/vm';
import { waitFor } from '@auburngrade/testkit';
import { expect } from 'chai';
import createConfigurationFeed from './createConfigurationFeed';
import createPeerFollower from './createPeerFollower';

const DEPTH = 3;
const IN_FORCE_MS = 6_000;
/** Keys are accepted while the last outage proof is at most this old. */
const MAX_UNCONFIRMED_MS = 4_500;
/** Interval at which followers send requests. */
const REQUEST_INTERVAL_MS = 500;
const CHANGE_COUNT = 40;
const CHANGE_PERIOD_MS = 2_000;

const nowMs = (): number => performance.now();
const createAccountEntry = (name: string, revision: number) => ({
  key: `/auburngrade/account/${name}`,
  valueJson: JSON.stringify({ limit: { ratePerS: revision, burst: 1 }, weight: 1 }),
  modRevision: revision,
});
const createVmEntry = (revision: number) => ({
  key: '/platform/vms/waco-9',
  valueJson: JSON.stringify({ dataCentre: 'waco', host: 'h', callerPort: 1, vmPort: 2 }),
  modRevision: revision,
});

interface Link {
  state: ConfigurationState;
  sent: ConfigurationUpdate[];
  outageAtMs(): number;
  stop(): void;
}

describe('a chain of configuration followers', () => {
  let relay: ConfigurationState;
  let links: Link[];

  /** Starts a VM that follows `source`. */
  const startFollower = (
    source: ConfigurationState,
    ages: () => { confirmedAgeMs: number; outageAgeMs: number },
  ): Link => {
    const state = createConfigurationState();
    const feed = createConfigurationFeed(source, ages);
    const sent: ConfigurationUpdate[] = [];
    let outageAtMs = Number.NEGATIVE_INFINITY;
    const follower = createPeerFollower({
      vm: 'follower',
      state,
      chooseSource: () => ({ id: 'source', address: '' }),
      shouldKeepSource: () => true,
      open: (_address, listener) => {
        const session = feed.open((update) => {
          sent.push(update);
          setImmediate(() => listener.onUpdate(update));
        });
        return {
          send: (request) => setImmediate(() => session.onRequest(request)),
          close: session.close,
        };
      },
      onSuccess: () => {},
      onFailure: () => {},
      onConfirmed: (_confirmedAtMs, provenAtMs) => {
        outageAtMs = Math.max(outageAtMs, provenAtMs);
      },
      nowMs,
    });
    follower.start();
    return { state, sent, outageAtMs: () => outageAtMs, stop: follower.stop };
  };

  beforeEach(async () => {
    relay = createConfigurationState();
    relay.applyChanges(1, []);
    links = [];
    for (let depth = 0; depth < DEPTH; depth += 1) {
      const upstream = links.at(-1);
      const ages = () => {
        const ageMs = upstream ? Math.ceil(nowMs() - upstream.outageAtMs()) : 0;
        return { confirmedAgeMs: -1, outageAgeMs: Number.isFinite(ageMs) ? ageMs : -1 };
      };
      links.push(startFollower(upstream?.state ?? relay, ages));
      const { state } = links.at(-1) as Link;
      await waitFor('the first update', () => state.revision() === 1);
    }
  });

  afterEach(() => {
    links.forEach(({ stop }) => stop());
  });

  it('delivers changes to the last follower in time, batched between requests', async () => {
    const [first, , last] = links;
    const before = first?.sent.length ?? 0;
    const startedAtMs = nowMs();
    for (let index = 0; index < CHANGE_COUNT; index += 1) {
      const revision = relay.revision() + 1;
      relay.applyChanges(revision, [createAccountEntry(`account-${index % 4}`, revision)]);
      await sleep(CHANGE_PERIOD_MS / CHANGE_COUNT);
    }
    const changedAtMs = nowMs();
    await waitFor('the last change', () => last?.state.revision() === relay.revision());
    expect(nowMs() - changedAtMs).to.be.below(IN_FORCE_MS);
    expect(last?.state.list('account')).to.deep.equal(relay.list('account'));
    const requests = Math.ceil((nowMs() - startedAtMs) / REQUEST_INTERVAL_MS) + 1;
    expect((first?.sent.length ?? 0) - before).to.be.at.most(requests);
  });

  it('forwards a change of the VM list at once, with the changes queued before it', async () => {
    const startedAtMs = nowMs();
    relay.applyChanges(2, [createAccountEntry('ranch', 2)]);
    relay.applyChanges(3, [createVmEntry(3)]);
    await waitFor('the VM', () => links.at(-1)?.state.get('vm', 'waco-9'));
    expect(nowMs() - startedAtMs).to.be.below(REQUEST_INTERVAL_MS);
    expect(links.at(-1)?.state.get('account', 'ranch')?.limit.ratePerS).to.equal(2);
  });

  it('keeps the outage proof at the last follower recent enough to accept keys', async () => {
    await waitFor('a proof', () => (links.at(-1)?.outageAtMs() ?? 0) > 0);
    let oldestMs = 0;
    for (let index = 0; index < CHANGE_COUNT; index += 1) {
      oldestMs = Math.max(oldestMs, nowMs() - (links.at(-1)?.outageAtMs() ?? 0));
      await sleep(CHANGE_PERIOD_MS / CHANGE_COUNT);
    }
    expect(oldestMs).to.be.below(MAX_UNCONFIRMED_MS);
  });
});
