import { expect } from 'chai';
import fc from 'fast-check';
import type Refusal from '../verdict/refusal';
import createRetryBudget from './createRetryBudget';
import decideRetry from './decideRetry';
import mergeRefusals from './mergeRefusals';

const createRefusal = (changes: Partial<Refusal>): Refusal => ({
  verdict: 'notRun',
  code: 'noPrimary',
  message: '',
  ...changes,
});

const decide = (code: Refusal['code'], attempts = 1, deadlineAtMs = 1_000) =>
  decideRetry({ refusal: createRefusal({ code }), attempts, nowMs: 0, deadlineAtMs, random: 0.5 });

describe('retries', () => {
  describe('decideRetry', () => {
    it('retries transient failures, the first time without delay', () => {
      expect(decide('noPrimary')).to.deep.equal({ kind: 'retry', delayMs: 0 });
      expect(decide('peerUnreachable', 3)).to.deep.equal({ kind: 'retry', delayMs: 20 });
    });

    it('does not retry refusals for load, invalid requests or failed statements', () => {
      const codes = ['rateExceeded', 'queueFull', 'queueTimeout', 'badRequest', 'statementFailed'];
      codes.forEach((code) => {
        expect(decide(code as Refusal['code'])).to.deep.equal({ kind: 'giveUp' });
      });
    });

    it('never schedules a retry past the deadline', () => {
      const numbers = [fc.integer({ min: 1, max: 30 }), fc.nat(2_000), fc.nat(2_000)] as const;
      fc.assert(
        fc.property(...numbers, (attempts, nowMs, deadlineAtMs) => {
          const state = { refusal: createRefusal({}), attempts, nowMs, deadlineAtMs, random: 0.9 };
          const decision = decideRetry(state);
          if (decision.kind === 'giveUp') return true;
          return nowMs + decision.delayMs < deadlineAtMs;
        }),
      );
    });
  });

  describe('createRetryBudget', () => {
    it('allows one retry per five requests once the initial tokens are used up', () => {
      const budget = createRetryBudget();
      while (budget.takeRetryToken()) {
        // Uses up the initial tokens.
      }
      Array.from({ length: 100 }).forEach(budget.creditRequest);
      const grantedCount = Array.from({ length: 100 }, budget.takeRetryToken).filter(
        Boolean,
      ).length;
      expect(grantedCount).to.be.within(19, 20);
    });
  });

  describe('mergeRefusals', () => {
    it('keeps the verdict mayHaveRun until a later attempt has looked up the request id', () => {
      const lostConnection = createRefusal({ verdict: 'mayHaveRun', code: 'peerUnreachable' });
      expect(mergeRefusals(lostConnection, createRefusal({})).verdict).to.equal('mayHaveRun');
      expect(mergeRefusals(createRefusal({}), createRefusal({})).verdict).to.equal('notRun');
      const lookedUp = createRefusal({ code: 'transactionAborted' });
      expect(mergeRefusals(lostConnection, lookedUp).verdict).to.equal('notRun');
    });
  });
});
