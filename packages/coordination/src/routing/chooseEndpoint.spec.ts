import { expect } from 'chai';
import fc from 'fast-check';
import type MemberStatus from '../acknowledgement/memberStatus';
import isMajorityAcknowledged from '../acknowledgement/isMajorityAcknowledged';
import type TermRecord from '../configuration/termRecord';
import addWatermark from '../freshness/addWatermark';
import confirmWatermark from '../freshness/confirmWatermark';
import type Watermark from '../freshness/watermark';
import chooseEndpoint from './chooseEndpoint';
import type ReadState from './readState';

interface Entry {
  term: number;
  id: number;
}
interface Acknowledged {
  term: number;
  position: number;
  id: number;
  atMs: number;
}
interface PendingRead {
  member: number;
  term: number;
  required: Acknowledged[];
}

const MEMBERS = [0, 1, 2, 3, 4];
const MEMBER_NAMES = MEMBERS.map((index) => `m${index}`);
const MAJORITY = 3;

/** A group that replicates, fences, promotes and cuts logs back, and a VM that lags behind it. */
const createModel = () => {
  const members = MEMBERS.map((index) => ({
    log: [] as Entry[],
    fencedTerm: 1,
    primaryTerm: index === 0 ? 1 : 0,
    upstream: index === 0 ? undefined : 0,
  }));
  let platformRecord: TermRecord = {
    term: 1,
    state: 'active',
    primary: 'm0',
    history: [{ term: 1, startPosition: 0 }],
  };
  let record = platformRecord;
  const statuses = new Map<number, MemberStatus>();
  let watermarks: readonly Watermark[] = [];
  const acknowledged: Acknowledged[] = [];
  const written: Omit<Acknowledged, 'atMs'>[] = [];
  const pending: PendingRead[] = [];
  let nowMs = 0;
  let lastId = 0;
  let servedReads = 0;

  const statusOf = (index: number): MemberStatus => {
    const { log, fencedTerm, primaryTerm } = members[index]!;
    const isPrimary = primaryTerm > 0 && primaryTerm === fencedTerm;
    return {
      member: `m${index}`,
      role: isPrimary ? 'primary' : 'replica',
      fencedTerm,
      logTerm: log.at(-1)?.term ?? 0,
      position: log.length,
      askedAtMs: nowMs,
    };
  };

  const acknowledge = (): void => {
    const now = MEMBERS.map(statusOf);
    written.splice(0).forEach((write) => {
      const isHeld = isMajorityAcknowledged(now, MEMBERS.length, write.term, write.position);
      if (isHeld) acknowledged.push({ ...write, atMs: nowMs });
      else written.push(write);
    });
  };

  const write = (index: number): void => {
    const member = members[index]!;
    if (member.primaryTerm === 0 || member.primaryTerm !== member.fencedTerm) return;
    lastId += 1;
    member.log.push({ term: member.primaryTerm, id: lastId });
    written.push({ term: member.primaryTerm, position: member.log.length, id: lastId });
  };

  const replicate = (index: number): void => {
    const member = members[index]!;
    if (member.upstream === undefined) return;
    const { log } = members[member.upstream]!;
    const next = log[member.log.length];
    if (next && member.log.every(({ id }, at) => log[at]?.id === id)) member.log.push(next);
  };

  const fence = (index: number): void => {
    const member = members[index]!;
    if (platformRecord.state !== 'promoting' || member.fencedTerm >= platformRecord.term) return;
    Object.assign(member, { fencedTerm: platformRecord.term, primaryTerm: 0, upstream: undefined });
  };

  const startPromotion = (): void => {
    if (platformRecord.state !== 'active') return;
    const { history, term } = platformRecord;
    platformRecord = { term: term + 1, state: 'promoting', history };
  };

  const finishPromotion = (): void => {
    const { term, state, history } = platformRecord;
    if (state !== 'promoting') return;
    const fenced = MEMBERS.map(statusOf).filter(({ fencedTerm }) => fencedTerm === term);
    if (fenced.length < MAJORITY) return;
    const [best] = fenced.sort((a, b) => b.logTerm - a.logTerm || b.position - a.position);
    members[Number(best!.member.slice(1))]!.primaryTerm = term;
    const startPosition = best!.position;
    const started = { term, startPosition };
    const next = [...history, started];
    platformRecord = { term, state: 'active', primary: best!.member, history: next };
  };

  const follow = (index: number): void => {
    const { primary, term, state } = platformRecord;
    const member = members[index]!;
    if (state !== 'active' || primary === `m${index}` || member.fencedTerm > term) return;
    const upstream = Number(primary!.slice(1));
    const { log } = members[upstream]!;
    const common = member.log.findIndex(({ id }, at) => log[at]?.id !== id);
    if (common !== -1) member.log.splice(common);
    Object.assign(member, { fencedTerm: term, primaryTerm: 0, upstream });
  };

  /** A whole promotion by a majority that starts at `first`; the others hear nothing of it. */
  const promote = (first: number): void => {
    const reached = [0, 1, 2].map((offset) => (first + offset) % MEMBERS.length);
    startPromotion();
    reached.forEach(fence);
    finishPromotion();
    reached.forEach(follow);
  };

  /** A write that reaches every member that follows the present primary. */
  const writeToAll = (): void => {
    const { primary, state } = platformRecord;
    if (state !== 'active') return;
    write(Number(primary!.slice(1)));
    MEMBERS.forEach(replicate);
  };

  const poll = (index: number): void => {
    statuses.set(index, statusOf(index));
    const next = confirmWatermark([...statuses.values()], MEMBER_NAMES, record);
    if (next) watermarks = addWatermark(watermarks, next);
  };

  const read = (pick: number, freshness: ReadState['freshness']): void => {
    const token = acknowledged[pick % Math.max(1, acknowledged.length)];
    const target = chooseEndpoint({
      record,
      members: MEMBERS.map((index) => ({ name: `m${index}`, dataCentre: 'a', state: 'active' })),
      statuses: [...statuses.values()],
      watermarks,
      tokenEntry: token && { term: token.term, position: token.position },
      freshness,
      maxLagPositions: 1_000,
      dataCentre: 'a',
      avoided: new Set(),
      nowMs,
      random: 0,
    });
    const limitMs = freshness.kind === 'maxAge' ? nowMs - freshness.maxAgeMs : -1;
    const old = acknowledged.filter(({ atMs }) => atMs <= limitMs);
    const required = token ? [token, ...old] : old;
    const chosen = target.kind === 'serve' ? target.members : [];
    chosen.forEach((name) => {
      pending.push({ member: Number(name.slice(1)), term: record.term, required });
    });
    // The primary serves a session at once; for the other profiles a majority confirms it.
    if (target.kind === 'notFresh' && target.primary && freshness.kind === 'session') {
      const member = Number(target.primary.slice(1));
      pending.push({ member, term: record.term, required });
    }
  };

  const run = (): void => {
    const next = pending.shift();
    if (!next) return;
    const { log, fencedTerm } = members[next.member]!;
    if (next.term < fencedTerm) return;
    servedReads += 1;
    next.required.forEach(({ id, term, position }) => {
      const found = log.some((entry) => entry.id === id);
      expect(found, `m${next.member} lacks ${term}/${position}`).to.equal(true);
    });
  };

  const steps: ((value: number) => void)[] = [
    (value) => write(value % MEMBERS.length),
    (value) => replicate(value % MEMBERS.length),
    (value) => replicate((value + 1) % MEMBERS.length),
    (value) => fence(value % MEMBERS.length),
    (value) => (value % 4 === 0 ? startPromotion() : write(value % MEMBERS.length)),
    finishPromotion,
    promote,
    writeToAll,
    writeToAll,
    () => MEMBERS.forEach(poll),
    (value) => follow(value % MEMBERS.length),
    (value) => poll(value % MEMBERS.length),
    (value) => poll((value + 1) % MEMBERS.length),
    () => {
      record = platformRecord;
    },
    (value) => read(value, { kind: 'session' }),
    (value) => read(value, { kind: 'maxAge', maxAgeMs: 1 + (value % 9) }),
    run,
    run,
  ];

  return {
    step: (kind: number, value: number): void => {
      nowMs += 1;
      steps[kind % steps.length]!(value);
      acknowledge();
    },
    stepCount: steps.length,
    servedReads: () => servedReads,
  };
};

const RECORD: TermRecord = {
  term: 2,
  state: 'active',
  primary: 'm0',
  history: [
    { term: 1, startPosition: 0 },
    { term: 2, startPosition: 10 },
  ],
};

const replica = (changes: Partial<MemberStatus>): MemberStatus => ({
  member: 'm1',
  role: 'replica',
  fencedTerm: 2,
  logTerm: 2,
  position: 20,
  askedAtMs: 0,
  ...changes,
});

const stateWith = (changes: Partial<ReadState>): ReadState => ({
  record: RECORD,
  members: ['m0', 'm1', 'm2'].map((name) => ({ name, dataCentre: name, state: 'active' })),
  statuses: [replica({}), replica({ member: 'm2' })],
  watermarks: [],
  tokenEntry: { term: 2, position: 15 },
  freshness: { kind: 'session' },
  maxLagPositions: 1_000,
  dataCentre: 'm2',
  avoided: new Set(),
  nowMs: 0,
  random: 0,
  ...changes,
});

const membersOf = (changes: Partial<ReadState>): readonly string[] => {
  const target = chooseEndpoint(stateWith(changes));
  return target.kind === 'serve' ? target.members : [];
};

describe('choosing an endpoint for a read', () => {
  describe('among fresh replicas', () => {
    it('prefers its own data centre and puts those that failed last', () => {
      expect(membersOf({})).to.deep.equal(['m2', 'm1']);
      expect(membersOf({ avoided: new Set(['m2']) })).to.deep.equal(['m1', 'm2']);
    });

    it('leaves out a leaving member and one too far behind the primary', () => {
      const [first, second, third] = stateWith({}).members;
      const members = [first!, second!, { ...third!, state: 'leaving' as const }];
      expect(membersOf({ members })).to.deep.equal(['m1']);
      const watermarks = [{ askedAtMs: 0, term: 2, position: 25 }];
      expect(membersOf({ watermarks, maxLagPositions: 4 })).to.deep.equal([]);
    });
  });

  describe('with a replica that may hold what was never acknowledged', () => {
    it('does not serve before the replica is fenced at the present term', () => {
      const statuses = [replica({ fencedTerm: 1, logTerm: 1, position: 10 })];
      const tokenEntry = { term: 1, position: 5 };
      expect(membersOf({ statuses, tokenEntry })).to.deep.equal([]);
    });

    it('does not serve when its log runs past the start of the term', () => {
      const statuses = [replica({ logTerm: 1, position: 11 })];
      const tokenEntry = { term: 1, position: 5 };
      expect(membersOf({ statuses, tokenEntry })).to.deep.equal([]);
    });
  });

  describe('under replication, promotions and logs that are cut back', () => {
    it('never gives a read data older than its token or its stated age', () => {
      let served = 0;
      const { stepCount } = createModel();
      const step = fc.tuple(fc.nat(stepCount - 1), fc.nat(60));
      fc.assert(
        fc.property(fc.array(step, { minLength: 20, maxLength: 250, size: 'max' }), (steps) => {
          const model = createModel();
          steps.forEach(([kind, value]) => model.step(kind, value));
          served += model.servedReads();
        }),
        { numRuns: 3_000 },
      );
      expect(served).to.be.greaterThan(1_000);
    });
  });
});
