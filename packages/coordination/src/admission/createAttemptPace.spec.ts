import { expect } from 'chai';
import createAttemptPace from './createAttemptPace';

const QUEUE_DEADLINE_MS = 2_125;

describe('createAttemptPace', () => {
  // Guards against attempts that are used up while the endpoint has just refused.
  describe('with an endpoint that refuses each attempt within 2 ms for 1,500 ms', () => {
    const listAttempts = (): number[] => {
      const pace = createAttemptPace(250);
      const attemptsAtMs: number[] = [];
      for (let nowMs = 0; nowMs < QUEUE_DEADLINE_MS; nowMs += 1) {
        if (nowMs >= pace.pausedUntilMs('p', 0)) {
          attemptsAtMs.push(nowMs);
          if (nowMs >= 1_500) break;
          pace.noteNotRun('p', nowMs + 2);
        }
      }
      return attemptsAtMs;
    };

    it('attempts again soon after the endpoint has returned, with at most 12 attempts', () => {
      expect(listAttempts().at(-1)).to.be.within(1_500, 1_750);
      expect(listAttempts().length).to.be.at.most(12);
    });
  });

  it('delays no attempt at another endpoint, nor at one that has become available since', () => {
    const pace = createAttemptPace(250);
    expect(pace.noteNotRun('p', 100)).to.equal(15);
    expect(pace.noteNotRun('p', 200)).to.equal(30);
    expect(pace.pausedUntilMs('p', 150)).to.equal(230);
    expect(pace.pausedUntilMs('r', 150)).to.equal(0);
    expect(pace.pausedUntilMs('p', 201)).to.equal(0);
  });
});
