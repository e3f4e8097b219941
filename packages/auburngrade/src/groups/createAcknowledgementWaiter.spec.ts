import { expect } from 'chai';
import type { MemberStatus } from '@auburngrade/coordination';
import createAcknowledgementWaiter from './createAcknowledgementWaiter';
import type StatusPoller from './statusPoller';

const MEMBERS = ['m1', 'm2', 'm3'];
const DEADLINE_MS = 400;

const nowMs = (): number => performance.now();

const statusOf = (member: string): MemberStatus => ({
  member,
  role: 'replica',
  fencedTerm: 1,
  logTerm: 1,
  position: 5,
  askedAtMs: nowMs() + DEADLINE_MS,
});

describe('createAcknowledgementWaiter', () => {
  it('resolves when polls by other callers show that a majority holds the position', async () => {
    const latest = new Map<string, MemberStatus>();
    const pollers = new Map<string, StatusPoller>(
      MEMBERS.map((member) => [
        member,
        {
          latest: () => latest.get(member),
          unansweredSinceMs: () => undefined,
          note: () => {},
          // The waiter's own first poll finds the position not yet replicated.
          poll: async () => {
            latest.set(member, { ...statusOf(member), position: 0 });
          },
        },
      ]),
    );
    const startedAtMs = nowMs();
    const acknowledger = createAcknowledgementWaiter(pollers, () => MEMBERS, nowMs);
    const acknowledged = acknowledger.wait(1, 5, startedAtMs, startedAtMs + DEADLINE_MS);
    await new Promise((resolve) => {
      setTimeout(resolve, 0);
    });
    MEMBERS.forEach((member) => latest.set(member, statusOf(member)));
    expect(await acknowledged).to.equal(true);
    expect(nowMs() - startedAtMs).to.be.lessThan(DEADLINE_MS / 2);
  });
});
