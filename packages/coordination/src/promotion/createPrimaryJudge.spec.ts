import { expect } from 'chai';
import type TermRecord from '../configuration/termRecord';
import createPrimaryJudge from './createPrimaryJudge';
import type MemberView from './memberView';

const TICK_MS = 100;
const TIMINGS = { suspectAfterMs: 600, stallAfterMs: 3_000, takeOverAfterMs: 2_000 };
const RECORD: TermRecord = {
  term: 2,
  state: 'active',
  primary: 'm1',
  voters: ['m1', 'm2', 'm3'],
  history: [{ term: 2, startPosition: 0 }],
};

/** A judge that is asked every tick about members whose state a test sets. */
const createBench = () => {
  const judge = createPrimaryJudge(TIMINGS);
  const positions: Record<string, number> = { m1: 10, m2: 10, m3: 10 };
  const silentSinceMs: Record<string, number> = {};
  let nowMs = 1_000;
  let role: 'primary' | 'replica' = 'primary';
  let fencedTerm = 2;
  let frozen: MemberView[] | undefined;

  const viewOf = (member: string): MemberView => ({
    member,
    status: {
      member,
      role: member === 'm1' ? role : 'replica',
      fencedTerm,
      logTerm: 2,
      position: positions[member] ?? 0,
      askedAtMs: silentSinceMs[member] ?? nowMs,
    },
    unansweredSinceMs: silentSinceMs[member],
  });

  const views = (): MemberView[] => frozen ?? ['m1', 'm2', 'm3'].map(viewOf);

  const judgeNow = (record = RECORD) => {
    judge.observe(views(), nowMs);
    return judge.judge(record);
  };

  return {
    judge,
    positions,
    judgeNow,
    silence: (member: string): void => {
      silentSinceMs[member] = nowMs;
    },
    demote: (term: number): void => {
      role = 'replica';
      fencedTerm = term;
    },
    /** From now on no member is polled, as when a group is idle. */
    freeze: (): void => {
      frozen = views();
    },
    pause: (forMs: number): void => {
      nowMs += forMs;
    },
    run: (forMs: number, record = RECORD) => {
      let judgement = judgeNow(record);
      for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += TICK_MS) {
        nowMs += TICK_MS;
        judgement = judgeNow(record);
      }
      return judgement;
    },
    isAnswering: (member: string): boolean => judge.isAnswering(viewOf(member)),
  };
};

describe('the judgement of a primary by one VM', () => {
  let bench: ReturnType<typeof createBench>;

  beforeEach(() => {
    bench = createBench();
    bench.run(1_000);
  });

  it('is present while it answers, and unknown once a poll has no answer yet', () => {
    expect(bench.judgeNow()).to.deep.equal({ view: 'present', reason: undefined });
    bench.silence('m1');
    expect(bench.run(300)).to.deep.equal({ view: 'unknown', reason: undefined });
  });

  it('is unknown when the record names no known member', () => {
    expect(bench.judgeNow({ ...RECORD, primary: 'm9' }).view).to.equal('unknown');
  });

  describe('that is silent', () => {
    it('is gone after the time for a suspicion', () => {
      bench.silence('m1');
      expect(bench.run(500).view).to.equal('unknown');
      expect(bench.run(100)).to.deep.equal({ view: 'gone', reason: 'silent' });
    });

    it('is not judged by a time in which this process stood still', () => {
      bench.silence('m1');
      bench.pause(5_000);
      expect(bench.judgeNow().view).to.equal('unknown');
      expect(bench.run(300).view).to.equal('unknown');
      expect(bench.run(100).reason).to.equal('silent');
    });

    it('is gone although this process stands still again and again', () => {
      bench.silence('m1');
      const judgements = Array.from({ length: 4 }, () => {
        bench.pause(400);
        return bench.judgeNow().reason;
      });
      expect(judgements).to.include('silent');
    });

    it('is not counted as answering', () => {
      bench.silence('m2');
      bench.run(500);
      expect(bench.isAnswering('m2')).to.equal(true);
      bench.run(100);
      expect(bench.isAnswering('m2')).to.equal(false);
    });
  });

  describe('that reports the role replica', () => {
    it('is gone after the time for a suspicion', () => {
      bench.demote(2);
      expect(bench.run(500).view).to.equal('present');
      expect(bench.run(100)).to.deep.equal({ view: 'gone', reason: 'demoted' });
    });

    it('is left alone when it obeys a later term', () => {
      bench.demote(3);
      expect(bench.run(5_000).reason).to.equal(undefined);
    });
  });

  describe('whose log no majority comes to hold', () => {
    beforeEach(() => {
      bench.positions.m1 = 20;
    });

    it('is gone after the time for a stall', () => {
      expect(bench.run(2_900).reason).to.equal(undefined);
      expect(bench.run(200)).to.deep.equal({ view: 'gone', reason: 'unconfirmed' });
    });

    it('is present when one replica catches up', () => {
      bench.run(2_000);
      bench.positions.m2 = 20;
      expect(bench.run(5_000).reason).to.equal(undefined);
    });

    it('is present when too few others answer to replace it', () => {
      bench.silence('m3');
      expect(bench.run(5_000).reason).to.equal(undefined);
    });

    it('is not judged by statuses from before the wait', () => {
      bench.freeze();
      expect(bench.run(10_000).reason).to.equal(undefined);
    });

    it('waits twice as long after each replacement for a stall', () => {
      bench.judge.noteStallReplacement();
      expect(bench.run(5_900).reason).to.equal(undefined);
      expect(bench.run(200).reason).to.equal('unconfirmed');
    });
  });
});
