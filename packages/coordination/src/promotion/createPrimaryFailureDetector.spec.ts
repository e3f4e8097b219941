import { expect } from 'chai';
import type TermRecord from '../configuration/termRecord';
import createPrimaryFailureDetector from './createPrimaryFailureDetector';
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

/** Runs a detector on simulated time, polling members whose state the test sets. */
const createDetectorHarness = () => {
  const detector = createPrimaryFailureDetector(TIMINGS);
  const positions: Record<string, number> = { m1: 10, m2: 10, m3: 10 };
  const unansweredSinceMsByMember: Record<string, number> = {};
  let nowMs = 1_000;
  let role: 'primary' | 'replica' = 'primary';
  let fencedTerm = 2;
  let frozenViews: MemberView[] | undefined;

  const viewOf = (member: string): MemberView => ({
    member,
    status: {
      member,
      role: member === 'm1' ? role : 'replica',
      fencedTerm,
      logTerm: 2,
      position: positions[member] ?? 0,
      askedAtMs: unansweredSinceMsByMember[member] ?? nowMs,
    },
    unansweredSinceMs: unansweredSinceMsByMember[member],
  });

  const views = (): MemberView[] => frozenViews ?? ['m1', 'm2', 'm3'].map(viewOf);

  const assessNow = (record = RECORD) => {
    detector.observe(views(), nowMs);
    return detector.assess(record);
  };

  return {
    detector,
    positions,
    assessNow,
    stopAnswering: (member: string): void => {
      unansweredSinceMsByMember[member] = nowMs;
    },
    demote: (term: number): void => {
      role = 'replica';
      fencedTerm = term;
    },
    /** Stops polling all members, as in an idle group. */
    stopPolling: (): void => {
      frozenViews = views();
    },
    pause: (forMs: number): void => {
      nowMs += forMs;
    },
    run: (forMs: number, record = RECORD) => {
      let assessment = assessNow(record);
      for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += TICK_MS) {
        nowMs += TICK_MS;
        assessment = assessNow(record);
      }
      return assessment;
    },
    isAnswering: (member: string): boolean => detector.isAnswering(viewOf(member)),
  };
};

describe('createPrimaryFailureDetector', () => {
  let harness: ReturnType<typeof createDetectorHarness>;

  beforeEach(() => {
    harness = createDetectorHarness();
    harness.run(1_000);
  });

  it('reports present while the primary answers, and unknown while a poll is unanswered', () => {
    expect(harness.assessNow()).to.deep.equal({ view: 'present', reason: undefined });
    harness.stopAnswering('m1');
    expect(harness.run(300)).to.deep.equal({ view: 'unknown', reason: undefined });
  });

  it('reports unknown when the record names no known member', () => {
    expect(harness.assessNow({ ...RECORD, primary: 'm9' }).view).to.equal('unknown');
  });

  describe('when a member does not answer', () => {
    it('reports gone after suspectAfterMs', () => {
      harness.stopAnswering('m1');
      expect(harness.run(500).view).to.equal('unknown');
      expect(harness.run(100)).to.deep.equal({ view: 'gone', reason: 'silent' });
    });

    it('does not count a pause of this process towards the time-out', () => {
      harness.stopAnswering('m1');
      harness.pause(5_000);
      expect(harness.assessNow().view).to.equal('unknown');
      expect(harness.run(300).view).to.equal('unknown');
      expect(harness.run(100).reason).to.equal('silent');
    });

    it('reports gone although this process pauses repeatedly', () => {
      harness.stopAnswering('m1');
      const assessments = Array.from({ length: 4 }, () => {
        harness.pause(400);
        return harness.assessNow().reason;
      });
      expect(assessments).to.include('silent');
    });

    it('does not count it as answering after suspectAfterMs', () => {
      harness.stopAnswering('m2');
      harness.run(500);
      expect(harness.isAnswering('m2')).to.equal(true);
      harness.run(100);
      expect(harness.isAnswering('m2')).to.equal(false);
    });
  });

  describe('when the primary reports the role replica', () => {
    it('reports gone after suspectAfterMs', () => {
      harness.demote(2);
      expect(harness.run(500).view).to.equal('present');
      expect(harness.run(100)).to.deep.equal({ view: 'gone', reason: 'demoted' });
    });

    it('does not report gone when the primary is fenced at a later term', () => {
      harness.demote(3);
      expect(harness.run(5_000).reason).to.equal(undefined);
    });
  });

  describe('when no majority catches up with the log of the primary', () => {
    beforeEach(() => {
      harness.positions.m1 = 20;
    });

    it('reports gone after stallAfterMs', () => {
      expect(harness.run(2_900).reason).to.equal(undefined);
      expect(harness.run(200)).to.deep.equal({ view: 'gone', reason: 'unconfirmed' });
    });

    it('does not report gone when one replica catches up', () => {
      harness.run(2_000);
      harness.positions.m2 = 20;
      expect(harness.run(5_000).reason).to.equal(undefined);
    });

    it('does not report gone when too few other voters answer to replace it', () => {
      harness.stopAnswering('m3');
      expect(harness.run(5_000).reason).to.equal(undefined);
    });

    it('ignores statuses polled before the stall time-out', () => {
      harness.stopPolling();
      expect(harness.run(10_000).reason).to.equal(undefined);
    });

    it('doubles the time-out after a replacement for a stall', () => {
      harness.detector.recordStallReplacement();
      expect(harness.run(5_900).reason).to.equal(undefined);
      expect(harness.run(200).reason).to.equal('unconfirmed');
    });
  });
});
