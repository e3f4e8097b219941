import type { QuotaConsumer } from '@auburngrade/coordination';
import { expect } from 'chai';
import type createQuotaProtocol from './createQuotaProtocol';
import type createQuotaRoles from './createQuotaRoles';
import createQuotaState from './createQuotaState';
import createTokenAcquirer from './createTokenAcquirer';

const MAX_WAIT_MS = 40;
const MAX_SILENT_WAIT_MS = 400;
const NEVER_MS = 60_000;

describe('createTokenAcquirer', () => {
  const nowMs = (): number => performance.now();

  /** A consumer without tokens whose allocator answers from `respondsFromMs` on with `grantedTokens`. */
  const createAcquirer = (respondsFromMs: number, grantedTokens: number) => {
    let availableTokens = 0;
    const consumer = {
      take: () => {
        if (availableTokens < 1) return false;
        availableTokens -= 1;
        return true;
      },
      tokenDueInMs: () => (availableTokens >= 1 ? 0 : NEVER_MS),
      count: () => {},
    } as unknown as QuotaConsumer;
    const state = { ...createQuotaState('ranch', { ratePerS: 100, burst: 100 }), consumer };
    const reportInTurn = async (): Promise<boolean> => {
      if (nowMs() < respondsFromMs) return false;
      availableTokens = grantedTokens;
      return true;
    };
    const acquirer = createTokenAcquirer({
      maxWaitMs: MAX_WAIT_MS,
      maxSilentWaitMs: MAX_SILENT_WAIT_MS,
      roles: { refresh: () => undefined } as unknown as ReturnType<typeof createQuotaRoles>,
      protocol: { claimIfOrphaned: async () => {}, reportInTurn } as unknown as ReturnType<
        typeof createQuotaProtocol
      >,
      nowMs,
    });
    return { state, acquirer };
  };

  describe('when the allocator does not answer', () => {
    it('waits until the allocator answers, beyond the normal wait', async () => {
      const { state, acquirer } = createAcquirer(nowMs() + 3 * MAX_WAIT_MS, 1);
      expect(await acquirer.take(state, nowMs() + NEVER_MS)).to.equal(undefined);
    });

    it('stops at the request’s deadline and reports an unavailable quota, not an exceeded rate', async () => {
      const { state, acquirer } = createAcquirer(Number.POSITIVE_INFINITY, 0);
      const startedAtMs = nowMs();
      const shortage = await acquirer.take(state, startedAtMs + 2 * MAX_WAIT_MS);
      expect(shortage?.code).to.equal('shareUnavailable');
      expect(nowMs() - startedAtMs).to.be.below(MAX_SILENT_WAIT_MS);
    });

    it('lets no more requests wait for long than the rate could serve within the normal wait', async () => {
      const { state, acquirer } = createAcquirer(Number.POSITIVE_INFINITY, 0);
      const startedAtMs = nowMs();
      const acquisitions = Array.from({ length: 20 }, () =>
        acquirer.take(state, startedAtMs + NEVER_MS),
      );
      await Promise.race(acquisitions);
      expect(nowMs() - startedAtMs).to.be.below(MAX_SILENT_WAIT_MS);
      await Promise.all(acquisitions);
    });
  });

  describe('when the allocator has no tokens', () => {
    it('refuses with an exceeded rate within the normal wait', async () => {
      const { state, acquirer } = createAcquirer(0, 0);
      const startedAtMs = nowMs();
      const shortage = await acquirer.take(state, startedAtMs + NEVER_MS);
      expect(shortage?.code).to.equal('rateExceeded');
      expect(nowMs() - startedAtMs).to.be.below(MAX_SILENT_WAIT_MS);
    });
  });
});
