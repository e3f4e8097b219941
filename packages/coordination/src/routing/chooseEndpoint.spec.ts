import { expect } from 'chai';
import fc from 'fast-check';
import type MemberStatus from '../acknowledgement/memberStatus';
import isMajorityAcknowledged from '../acknowledgement/isMajorityAcknowledged';
import type TermRecord from '../configuration/termRecord';
import addWatermark from '../freshness/addWatermark';
import deriveWatermark from '../freshness/deriveWatermark';
import type Watermark from '../freshness/watermark';
import chooseEndpoint from './chooseEndpoint';
import type ReadContext from './readContext';

interface LogEntry {
  term: number;
  id: number;
}
interface AcknowledgedWrite {
  term: number;
  position: number;
  id: number;
  atMs: number;
}
interface PendingRead {
  member: number;
  term: number;
  required: AcknowledgedWrite[];
}

const MEMBERS = [0, 1, 2, 3, 4];
const MEMBER_NAMES = MEMBERS.map((index) => `m${index}`);
const MAJORITY = 3;

/** Models a group that replicates, fences, promotes and truncates, and a VM that lags behind it. */
const createModel = () => {
  const members = MEMBERS.map((index) => ({
    log: [] as LogEntry[],
    fencedTerm: 1,
    primaryTerm: index === 0 ? 1 : 0,
    upstream: index === 0 ? undefined : 0,
  }));
  let storedRecord: TermRecord = {
    term: 1,
    state: 'active',
    primary: 'm0',
    history: [{ term: 1, startPosition: 0 }],
  };
  let knownRecord = storedRecord;
  const statuses = new Map<number, MemberStatus>();
  let watermarks: readonly Watermark[] = [];
  const acknowledgedWrites: AcknowledgedWrite[] = [];
  const unacknowledgedWrites: Omit<AcknowledgedWrite, 'atMs'>[] = [];
  const pendingReads: PendingRead[] = [];
  let nowMs = 0;
  let lastWriteId = 0;
  let servedReads = 0;

  const createStatus = (index: number): MemberStatus => {
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

  const acknowledgeWrites = (): void => {
    const now = MEMBERS.map(createStatus);
    unacknowledgedWrites.splice(0).forEach((write) => {
      const isAcknowledged = isMajorityAcknowledged(
        now,
        MEMBERS.length,
        write.term,
        write.position,
      );
      if (isAcknowledged) acknowledgedWrites.push({ ...write, atMs: nowMs });
      else unacknowledgedWrites.push(write);
    });
  };

  const write = (index: number): void => {
    const member = members[index]!;
    if (member.primaryTerm === 0 || member.primaryTerm !== member.fencedTerm) return;
    lastWriteId += 1;
    member.log.push({ term: member.primaryTerm, id: lastWriteId });
    unacknowledgedWrites.push({
      term: member.primaryTerm,
      position: member.log.length,
      id: lastWriteId,
    });
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
    if (storedRecord.state !== 'promoting' || member.fencedTerm >= storedRecord.term) return;
    Object.assign(member, { fencedTerm: storedRecord.term, primaryTerm: 0, upstream: undefined });
  };

  const startPromotion = (): void => {
    if (storedRecord.state !== 'active') return;
    const { history, term } = storedRecord;
    storedRecord = { term: term + 1, state: 'promoting', history };
  };

  const finishPromotion = (): void => {
    const { term, state, history } = storedRecord;
    if (state !== 'promoting') return;
    const fencedStatuses = MEMBERS.map(createStatus).filter(
      ({ fencedTerm }) => fencedTerm === term,
    );
    if (fencedStatuses.length < MAJORITY) return;
    const [bestStatus] = fencedStatuses.sort(
      (a, b) => b.logTerm - a.logTerm || b.position - a.position,
    );
    members[Number(bestStatus!.member.slice(1))]!.primaryTerm = term;
    const startPosition = bestStatus!.position;
    const started = { term, startPosition };
    const next = [...history, started];
    storedRecord = { term, state: 'active', primary: bestStatus!.member, history: next };
  };

  const follow = (index: number): void => {
    const { primary, term, state } = storedRecord;
    const member = members[index]!;
    if (state !== 'active' || primary === `m${index}` || member.fencedTerm > term) return;
    const upstream = Number(primary!.slice(1));
    const { log } = members[upstream]!;
    const firstDifference = member.log.findIndex(({ id }, at) => log[at]?.id !== id);
    if (firstDifference !== -1) member.log.splice(firstDifference);
    Object.assign(member, { fencedTerm: term, primaryTerm: 0, upstream });
  };

  /** Runs a complete promotion by three members from `first` on, without reaching the other two. */
  const promote = (first: number): void => {
    const reached = [0, 1, 2].map((offset) => (first + offset) % MEMBERS.length);
    startPromotion();
    reached.forEach(fence);
    finishPromotion();
    reached.forEach(follow);
  };

  /** Writes on the current primary and replicates to every member that follows it. */
  const writeToAll = (): void => {
    const { primary, state } = storedRecord;
    if (state !== 'active') return;
    write(Number(primary!.slice(1)));
    MEMBERS.forEach(replicate);
  };

  const poll = (index: number): void => {
    statuses.set(index, createStatus(index));
    const next = deriveWatermark([...statuses.values()], MEMBER_NAMES, knownRecord);
    if (next) watermarks = addWatermark(watermarks, next);
  };

  const read = (pick: number, freshness: ReadContext['freshness']): void => {
    const token = acknowledgedWrites[pick % Math.max(1, acknowledgedWrites.length)];
    const target = chooseEndpoint({
      record: knownRecord,
      members: MEMBERS.map((index) => ({ name: `m${index}`, dataCentre: 'a', state: 'active' })),
      statuses: [...statuses.values()],
      watermarks,
      sessionPosition: token && { term: token.term, position: token.position },
      freshness,
      maxLagPositions: 1_000,
      dataCentre: 'a',
      avoided: new Set(),
      evacuatedDataCentres: new Set(),
      nowMs,
      random: 0,
    });
    const limitMs = freshness.kind === 'maxAge' ? nowMs - freshness.maxAgeMs : -1;
    const oldWrites = acknowledgedWrites.filter(({ atMs }) => atMs <= limitMs);
    const required = token ? [token, ...oldWrites] : oldWrites;
    const chosen = target.kind === 'serve' ? target.members : [];
    chosen.forEach((name) => {
      pendingReads.push({
        member: Number(name.slice(1)),
        term: knownRecord.term,
        required,
      });
    });
    // The primary serves session reads without a check; other reads need a majority's confirmation.
    if (target.kind === 'notFresh' && target.primary && freshness.kind === 'session') {
      const member = Number(target.primary.slice(1));
      pendingReads.push({ member, term: knownRecord.term, required });
    }
  };

  const run = (): void => {
    const next = pendingReads.shift();
    if (!next) return;
    const { log, fencedTerm } = members[next.member]!;
    if (next.term < fencedTerm) return;
    servedReads += 1;
    next.required.forEach(({ id, term, position }) => {
      const isFound = log.some((entry) => entry.id === id);
      expect(isFound, `m${next.member} lacks ${term}/${position}`).to.equal(true);
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
      knownRecord = storedRecord;
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
      acknowledgeWrites();
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

const createReplicaStatus = (changes: Partial<MemberStatus>): MemberStatus => ({
  member: 'm1',
  role: 'replica',
  fencedTerm: 2,
  logTerm: 2,
  position: 20,
  askedAtMs: 0,
  ...changes,
});

const createReadState = (changes: Partial<ReadContext>): ReadContext => ({
  record: RECORD,
  members: ['m0', 'm1', 'm2'].map((name) => ({ name, dataCentre: name, state: 'active' })),
  statuses: [createReplicaStatus({}), createReplicaStatus({ member: 'm2' })],
  watermarks: [],
  sessionPosition: { term: 2, position: 15 },
  freshness: { kind: 'session' },
  maxLagPositions: 1_000,
  dataCentre: 'm2',
  avoided: new Set(),
  evacuatedDataCentres: new Set(),
  nowMs: 0,
  random: 0,
  ...changes,
});

const chooseMembers = (changes: Partial<ReadContext>): readonly string[] => {
  const target = chooseEndpoint(createReadState(changes));
  return target.kind === 'serve' ? target.members : [];
};

describe('chooseEndpoint', () => {
  describe('among fresh replicas', () => {
    it('puts members of its own data centre first and recently failed members last', () => {
      expect(chooseMembers({})).to.deep.equal(['m2', 'm1']);
      expect(chooseMembers({ avoided: new Set(['m2']) })).to.deep.equal(['m1', 'm2']);
    });

    it('omits members in evacuated data centres', () => {
      const evacuatedDataCentres = new Set(['m2']);
      expect(chooseMembers({ evacuatedDataCentres })).to.deep.equal(['m1']);
    });

    it('omits a leaving member and a replica that exceeds the maximum lag', () => {
      const [first, second, third] = createReadState({}).members;
      const members = [first!, second!, { ...third!, state: 'leaving' as const }];
      expect(chooseMembers({ members })).to.deep.equal(['m1']);
      const watermarks = [{ askedAtMs: 0, term: 2, position: 25 }];
      expect(chooseMembers({ watermarks, maxLagPositions: 4 })).to.deep.equal([]);
    });
  });

  describe('with a replica whose log may contain unacknowledged writes', () => {
    it('does not choose a replica that is not fenced at the current term', () => {
      const statuses = [createReplicaStatus({ fencedTerm: 1, logTerm: 1, position: 10 })];
      const tokenEntry = { term: 1, position: 5 };
      expect(chooseMembers({ statuses, sessionPosition: tokenEntry })).to.deep.equal([]);
    });

    it('does not choose a replica whose log runs past the start of the current term', () => {
      const statuses = [createReplicaStatus({ logTerm: 1, position: 11 })];
      const tokenEntry = { term: 1, position: 5 };
      expect(chooseMembers({ statuses, sessionPosition: tokenEntry })).to.deep.equal([]);
    });
  });

  describe('under replication, promotions and log truncation', () => {
    it('never serves data older than the session token or the maximum age', () => {
      let totalServedReads = 0;
      const { stepCount } = createModel();
      const step = fc.tuple(fc.nat(stepCount - 1), fc.nat(60));
      fc.assert(
        fc.property(fc.array(step, { minLength: 20, maxLength: 250, size: 'max' }), (steps) => {
          const model = createModel();
          steps.forEach(([kind, value]) => model.step(kind, value));
          totalServedReads += model.servedReads();
        }),
        { numRuns: 3_000 },
      );
      expect(totalServedReads).to.be.greaterThan(1_000);
    });
  });
});
