import type { ShareHolder } from '@auburngrade/coordination';
import { expect } from 'chai';
import type createShareExchange from './createShareExchange';
import type createShareRoles from './createShareRoles';
import createShareState from './createShareState';
import createShareTaking from './createShareTaking';

const MAX_WAIT_MS = 40;
const MAX_SILENT_WAIT_MS = 400;
const NEVER_MS = 60_000;

describe('taking tokens of a share', () => {
  const nowMs = (): number => performance.now();

  /** A holder without tokens whose keeper is heard from `heardAtMs` on and has `tokens` then. */
  const setUp = (heardAtMs: number, tokens: number) => {
    let left = 0;
    const holder = {
      take: () => {
        if (left < 1) return false;
        left -= 1;
        return true;
      },
      tokenDueInMs: () => (left >= 1 ? 0 : NEVER_MS),
      count: () => {},
    } as unknown as ShareHolder;
    const state = { ...createShareState('ranch', { ratePerS: 100, burst: 100 }), holder };
    const sync = async (): Promise<boolean> => {
      if (nowMs() < heardAtMs) return false;
      left = tokens;
      return true;
    };
    const taking = createShareTaking({
      maxWaitMs: MAX_WAIT_MS,
      maxSilentWaitMs: MAX_SILENT_WAIT_MS,
      roles: { refresh: () => undefined } as unknown as ReturnType<typeof createShareRoles>,
      exchange: { claimIfOrphaned: async () => {}, sync } as unknown as ReturnType<
        typeof createShareExchange
      >,
      nowMs,
    });
    return { state, taking };
  };

  describe('with a keeper that does not answer', () => {
    it('goes on until it answers', async () => {
      const { state, taking } = setUp(nowMs() + 3 * MAX_WAIT_MS, 1);
      expect(await taking.take(state, nowMs() + NEVER_MS)).to.equal(undefined);
    });

    it('ends at the request’s deadline, and does not say that the rate is exceeded', async () => {
      const { state, taking } = setUp(Number.POSITIVE_INFINITY, 0);
      const startedAtMs = nowMs();
      const shortage = await taking.take(state, startedAtMs + 2 * MAX_WAIT_MS);
      expect(shortage?.code).to.equal('shareUnavailable');
      expect(nowMs() - startedAtMs).to.be.below(MAX_SILENT_WAIT_MS);
    });

    it('keeps no more requests for long than the limit could serve soon', async () => {
      const { state, taking } = setUp(Number.POSITIVE_INFINITY, 0);
      const startedAtMs = nowMs();
      const takings = Array.from({ length: 20 }, () => taking.take(state, startedAtMs + NEVER_MS));
      await Promise.race(takings);
      expect(nowMs() - startedAtMs).to.be.below(MAX_SILENT_WAIT_MS);
      await Promise.all(takings);
    });
  });

  describe('with a keeper that has none', () => {
    it('refuses as over the rate, soon', async () => {
      const { state, taking } = setUp(0, 0);
      const startedAtMs = nowMs();
      const shortage = await taking.take(state, startedAtMs + NEVER_MS);
      expect(shortage?.code).to.equal('rateExceeded');
      expect(nowMs() - startedAtMs).to.be.below(MAX_SILENT_WAIT_MS);
    });
  });
});
