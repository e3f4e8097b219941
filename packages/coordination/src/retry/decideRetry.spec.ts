import { expect } from 'chai';
import fc from 'fast-check';
import type Refusal from '../verdict/refusal';
import createRetryBudget from './createRetryBudget';
import decideRetry from './decideRetry';
import mergeRefusals from './mergeRefusals';

const refusal = (changes: Partial<Refusal>): Refusal => ({
  verdict: 'notRun',
  code: 'noPrimary',
  message: '',
  ...changes,
});

const decide = (code: Refusal['code'], attempts = 1, deadlineAtMs = 1_000) =>
  decideRetry({ refusal: refusal({ code }), attempts, nowMs: 0, deadlineAtMs, random: 0.5 });

describe('retries', () => {
  describe('the decision', () => {
    it('repeats what may pass elsewhere, at once the first time', () => {
      expect(decide('noPrimary')).to.deep.equal({ kind: 'retry', delayMs: 0 });
      expect(decide('peerUnreachable', 3)).to.deep.equal({ kind: 'retry', delayMs: 20 });
    });

    it('never repeats refusals for load or for what the caller sent', () => {
      const codes = ['rateExceeded', 'queueFull', 'queueTimeout', 'badRequest', 'statementFailed'];
      codes.forEach((code) => {
        expect(decide(code as Refusal['code'])).to.deep.equal({ kind: 'giveUp' });
      });
    });

    it('never goes past the deadline', () => {
      const numbers = [fc.integer({ min: 1, max: 30 }), fc.nat(2_000), fc.nat(2_000)] as const;
      fc.assert(
        fc.property(...numbers, (attempts, nowMs, deadlineAtMs) => {
          const state = { refusal: refusal({}), attempts, nowMs, deadlineAtMs, random: 0.9 };
          const decision = decideRetry(state);
          if (decision.kind === 'giveUp') return true;
          return nowMs + decision.delayMs < deadlineAtMs;
        }),
      );
    });
  });

  describe('the budget', () => {
    it('allows a reserve and then a fifth of the requests', () => {
      const budget = createRetryBudget();
      while (budget.withdraw()) {
        // Uses up the reserve.
      }
      Array.from({ length: 100 }).forEach(budget.deposit);
      const granted = Array.from({ length: 100 }, budget.withdraw).filter(Boolean).length;
      expect(granted).to.be.within(19, 20);
    });
  });

  describe('the verdict after several attempts', () => {
    it('stays "may have run" when a later attempt did not run and proves nothing', () => {
      const lost = refusal({ verdict: 'mayHaveRun', code: 'peerUnreachable' });
      expect(mergeRefusals(lost, refusal({})).verdict).to.equal('mayHaveRun');
      expect(mergeRefusals(refusal({}), refusal({})).verdict).to.equal('notRun');
      const looked = refusal({ code: 'transactionAborted' });
      expect(mergeRefusals(lost, looked).verdict).to.equal('notRun');
    });
  });
});
