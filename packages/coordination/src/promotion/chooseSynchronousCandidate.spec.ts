import { expect } from 'chai';
import fc from 'fast-check';
import chooseSynchronousCandidate from './chooseSynchronousCandidate';

const replica = (id: string, number: number, isLeaving = false) => ({
  id,
  receivedPosition: { term: 1, number },
  isLeaving,
});

describe('chooseSynchronousCandidate', () => {
  const base = { unanswered: ['p'], syncReplicas: 1, acknowledgedUpTo: undefined };

  // Guards against a promotion that loses commits which only the leaving replica has received.
  it('chooses a leaving replica that alone has the last commits', () => {
    const answered = [replica('r', 90), replica('s', 100, true)];
    expect(chooseSynchronousCandidate({ ...base, answered })).to.equal('s');
  });

  it('chooses a replica that stays if it has all that was acknowledged', () => {
    const answered = [replica('r', 98), replica('s', 100, true)];
    const acknowledgedUpTo = { term: 1, number: 98 };
    expect(chooseSynchronousCandidate({ ...base, answered, acknowledgedUpTo })).to.equal('r');
  });

  it('waits for a silent replica, which may have the last commits', () => {
    const statuses = { ...base, answered: [replica('r', 90)], unanswered: ['p', 's'] };
    const isAcknowledged = (number: number) => ({
      ...statuses,
      acknowledgedUpTo: { term: 1, number },
    });
    expect(chooseSynchronousCandidate(statuses)).to.equal(undefined);
    expect(chooseSynchronousCandidate(isAcknowledged(91))).to.equal(undefined);
    expect(chooseSynchronousCandidate(isAcknowledged(90))).to.equal('r');
    expect(chooseSynchronousCandidate({ ...statuses, syncReplicas: 2 })).to.equal('r');
  });

  it('never chooses a replica that lacks an acknowledged commit', () => {
    const anyGroup = fc.record({
      received: fc.array(fc.nat(12), { minLength: 1, maxLength: 4 }),
      syncReplicas: fc.integer({ min: 1, max: 3 }),
      isSilent: fc.array(fc.boolean(), { minLength: 4, maxLength: 4 }),
      isLeaving: fc.array(fc.boolean(), { minLength: 4, maxLength: 4 }),
      isKnown: fc.boolean(),
      ahead: fc.nat(2),
    });
    fc.assert(
      fc.property(anyGroup, ({ received, syncReplicas, isSilent, isLeaving, isKnown, ahead }) => {
        // The primary acknowledges a number once enough replicas have received it.
        const acknowledged = [...received].sort((a, b) => b - a)[syncReplicas - 1] ?? 0;
        const replicas = received.map((number, index) =>
          replica(`r${index}`, number, isLeaving[index]),
        );
        const chosen = chooseSynchronousCandidate({
          answered: replicas.filter((_replica, index) => !isSilent[index]),
          unanswered: [
            'p',
            ...replicas.filter((_replica, index) => isSilent[index]).map(({ id }) => id),
          ],
          syncReplicas,
          acknowledgedUpTo: isKnown ? { term: 1, number: acknowledged + ahead } : undefined,
        });
        const position = replicas.find(({ id }) => id === chosen)?.receivedPosition.number;
        return position === undefined || position >= acknowledged;
      }),
      { numRuns: 2_000 },
    );
  });
});
