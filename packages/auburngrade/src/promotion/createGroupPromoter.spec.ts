import {
  createConfigurationState,
  documentKinds,
  groupSchema,
  type ConfigurationEntry,
  type PrimaryHealth,
  type TermRecord,
} from '@auburngrade/coordination';
import type { ConditionalWrite, ConfigurationStore } from '@auburngrade/platform';
import { expect } from 'chai';
import { Registry } from 'prom-client';
import type GroupClient from '../groups/groupClient';
import sleep from '../time/sleep';
import createFailoverMetrics from './createFailoverMetrics';
import createGroupPromoter from './createGroupPromoter';

const GROUP = 'ranch';
const KEY = documentKinds.term.prefix + GROUP;
const VOTERS = ['m1', 'm2', 'm3'];
const TICK_MS = 100;
/** Longer than a primary must be silent before it is seen as gone. */
const SILENCE_MS = 1_000;
/** Longer than the longest delay between two attempts to write a term record. */
const RETRIES_MS = 700;

const buildRecord = (term: number, primary: string): TermRecord => ({
  term,
  state: 'active',
  primary,
  voters: VOTERS,
  history: [{ term, startPosition: 0 }],
});

const createFixture = (dataCentres = ['waco', 'waco', 'waco']) => {
  const clock = { ms: 100_000 };
  const nowMs = (): number => clock.ms;
  const silentMembers = new Map<string, number>();
  const configuration = createConfigurationState();
  let revision = 0;
  const store = { isAway: false, record: undefined as ConfigurationEntry | undefined };
  const written: TermRecord[] = [];
  let answerPeers = (_views: PrimaryHealth[]): void => undefined;

  const publish = (record: TermRecord): void => {
    revision += 1;
    store.record = { key: KEY, valueJson: JSON.stringify(record), modRevision: revision };
    configuration.applyChanges(revision, [store.record]);
  };

  const setState = (dataCentre: string, state: 'evacuated' | 'inService'): void => {
    revision += 1;
    const key = documentKinds.dataCentre.prefix + dataCentre;
    configuration.applyChanges(revision, [
      { key, valueJson: JSON.stringify({ state }), modRevision: revision },
    ]);
  };

  const platform = {
    range: async () => {
      if (store.isAway) throw new Error('away');
      return { revision, entries: store.record ? [store.record] : [] };
    },
    compareAndSwap: async ([write]: ConditionalWrite[]) => {
      if (store.isAway) return { kind: 'unknown' as const, message: 'away' };
      if (write?.expectedRevision !== store.record?.modRevision)
        return {
          kind: 'conflict' as const,
          revision,
          current: store.record ? [store.record] : [],
        };
      const record = JSON.parse(write?.valueJson ?? '{}') as TermRecord;
      written.push(record);
      publish(record);
      return { kind: 'applied' as const, revision };
    },
  } as Partial<ConfigurationStore> as ConfigurationStore;

  const group = groupSchema.parse({
    members: VOTERS.map((name, index) => ({
      name,
      dataCentre: dataCentres[index],
      host: '127.0.0.1',
      port: 1 + index,
      replicationPort: 10 + index,
    })),
  });
  const record = (): TermRecord | undefined => configuration.get('term', GROUP);
  const statusOf = (member: string) => ({
    member,
    role: member === record()?.primary ? ('primary' as const) : ('replica' as const),
    fencedTerm: record()?.term ?? 0,
    logTerm: 1,
    position: 1,
    askedAtMs: nowMs(),
  });
  const groupClient = {
    name: GROUP,
    group,
    record,
    voters: () => VOTERS,
    statuses: () => VOTERS.map(statusOf),
    views: () =>
      VOTERS.map((member) => ({
        member,
        status: statusOf(member),
        unansweredSinceMs: silentMembers.get(member),
      })),
    pollMember: async (member: string) =>
      silentMembers.has(member) ? undefined : statusOf(member),
    acquireControl: async () => {
      throw new Error('no connection');
    },
    recordStatus: () => undefined,
  } as Partial<GroupClient> as GroupClient;

  const promoter = createGroupPromoter({
    groupClient,
    promoter: 'waco-1/1',
    platform,
    configuration,
    platformTimeoutMs: 100,
    timings: { suspectAfterMs: 600, stallAfterMs: 3_000, takeOverAfterMs: 2_000 },
    peerViews: {
      collect: () =>
        new Promise((resolve) => {
          answerPeers = resolve;
        }),
    },
    rank: () => 0,
    metrics: createFailoverMetrics(new Registry()),
    logger: { debug: () => {}, info: () => {}, warn: () => {}, error: () => {} },
    nowMs,
  });

  const tickFor = (durationMs: number): void => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += TICK_MS) {
      clock.ms += TICK_MS;
      promoter.tick();
    }
  };

  publish(buildRecord(1, 'm1'));
  tickFor(TICK_MS);
  return {
    promoter,
    store,
    written,
    publish,
    tickFor,
    setState,
    silence: (member: string): void => {
      silentMembers.set(member, nowMs());
    },
    answer: (member: string): void => {
      silentMembers.delete(member);
    },
    /** The other VMs with connections to the group answer that they see its primary gone. */
    agree: async (): Promise<void> => {
      answerPeers(['gone', 'gone']);
      await sleep(0);
    },
  };
};

describe('createGroupPromoter', () => {
  it('claims the next term once the primary is gone and the other VMs agree', async () => {
    const { silence, tickFor, agree, written, promoter } = createFixture();
    silence('m1');
    tickFor(SILENCE_MS);
    await agree();
    expect(written.map(({ term, state }) => ({ term, state }))).to.deep.equal([
      { term: 2, state: 'promoting' },
    ]);
    promoter.close();
  });

  describe('of a VM that has lost its slot of the group', () => {
    it('claims nothing when the other VMs answer afterwards', async () => {
      const { silence, tickFor, agree, written, promoter } = createFixture();
      silence('m1');
      tickFor(SILENCE_MS);
      promoter.close();
      await agree();
      expect(written).to.deep.equal([]);
    });

    it('claims nothing when the store answers again afterwards', async () => {
      const { silence, tickFor, agree, written, promoter, store } = createFixture();
      silence('m1');
      tickFor(SILENCE_MS);
      store.isAway = true;
      await agree();
      promoter.close();
      store.isAway = false;
      await sleep(RETRIES_MS);
      expect(written).to.deep.equal([]);
    });
  });

  it('claims nothing when the primary answered again before the store did', async () => {
    const { silence, answer, tickFor, agree, written, promoter, store } = createFixture();
    silence('m1');
    tickFor(SILENCE_MS);
    store.isAway = true;
    await agree();
    tickFor(SILENCE_MS);
    answer('m1');
    tickFor(SILENCE_MS);
    store.isAway = false;
    await sleep(RETRIES_MS);
    expect(written).to.deep.equal([]);
    promoter.close();
  });

  describe('with the primary in an evacuated data centre', () => {
    const DATA_CENTRES = ['waco', 'temple', 'waco'];

    it('replaces it, though it answers', async () => {
      const { setState, tickFor, written, promoter } = createFixture(DATA_CENTRES);
      setState('waco', 'evacuated');
      tickFor(TICK_MS);
      await sleep(0);
      expect(written.map(({ term, state }) => ({ term, state }))).to.deep.equal([
        { term: 2, state: 'promoting' },
      ]);
      promoter.close();
    });

    it('claims nothing while no member elsewhere can be promoted', async () => {
      const { setState, silence, tickFor, agree, written, promoter } = createFixture(DATA_CENTRES);
      setState('waco', 'evacuated');
      setState('temple', 'evacuated');
      tickFor(SILENCE_MS);
      silence('m1');
      tickFor(SILENCE_MS);
      await agree();
      expect(written).to.deep.equal([]);
      promoter.close();
    });

    it('waits for a member elsewhere that does not answer', async () => {
      const { setState, silence, tickFor, written, promoter } = createFixture(DATA_CENTRES);
      silence('m2');
      tickFor(2 * SILENCE_MS);
      setState('waco', 'evacuated');
      tickFor(TICK_MS);
      await sleep(0);
      expect(written).to.deep.equal([]);
      promoter.close();
    });

    it('starts again, with members that are back in service, when it has found no candidate', async () => {
      const { setState, tickFor, written, promoter } = createFixture(DATA_CENTRES);
      setState('waco', 'evacuated');
      tickFor(TICK_MS);
      await sleep(0);
      setState('waco', 'inService');
      tickFor(RETRIES_MS);
      await sleep(0);
      expect(written.map(({ term }) => term)).to.deep.equal([2, 3]);
      promoter.close();
    });
  });

  it('gives other VMs no view of a term that it formed in an earlier one', async () => {
    const { silence, tickFor, publish, promoter } = createFixture();
    silence('m1');
    tickFor(SILENCE_MS);
    expect(await promoter.view(1)).to.equal('gone');
    publish(buildRecord(2, 'm2'));
    expect(await promoter.view(2)).to.equal('unknown');
    tickFor(TICK_MS);
    expect(await promoter.view(2)).to.equal('present');
  });
});
