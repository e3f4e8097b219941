import { expect } from 'chai';
import chooseStatementEndpoint from './chooseStatementEndpoint';
import type MemberLoad from './memberLoad';

const member = (id: string, changes: Partial<MemberLoad> = {}): MemberLoad => ({
  id,
  isPrimary: false,
  isLeaving: false,
  isDown: false,
  activeStatements: 0,
  slots: 3,
  canConnect: true,
  hasIdleConnection: true,
  position: { term: 1, number: 10 },
  latencyMs: 25,
  pausedUntilMs: 0,
  ...changes,
});

const primary = member('p', { isPrimary: true });
const read = {
  needsPrimary: false,
  notBefore: { term: 1, number: 10 },
  excluded: new Set<string>(),
};
const chooseId = (members: MemberLoad[], placement = read): string | undefined =>
  chooseStatementEndpoint(members, placement, 0)?.id;

describe('chooseStatementEndpoint', () => {
  describe('for a read', () => {
    it('prefers a replica over the primary', () => {
      expect(chooseId([primary, member('r')])).to.equal('r');
    });

    it('chooses the primary when the replicas are much more loaded', () => {
      expect(chooseId([primary, member('r', { activeStatements: 3 })])).to.equal('p');
    });

    it('prefers a replica that has caught up over one that lags', () => {
      const lagging = member('l', { position: { term: 1, number: 3 } });
      expect(chooseId([lagging, member('r', { activeStatements: 1 })])).to.equal('r');
    });

    it('chooses no replica while the required position is unknown', () => {
      expect(chooseId([member('r')], { ...read, notBefore: undefined as never })).to.equal(
        undefined,
      );
    });

    it('chooses no endpoint that is down, leaving, paused, full or excluded', () => {
      const members = [
        member('a', { isDown: true }),
        member('b', { isLeaving: true }),
        member('c', { pausedUntilMs: 1 }),
        member('d', { activeStatements: 4 }),
        member('e', { canConnect: false }),
        member('f'),
      ];
      expect(chooseId(members, { ...read, excluded: new Set(['f']) })).to.equal(undefined);
    });
  });

  describe('for a statement that only the primary can serve', () => {
    it('chooses no endpoint while the primary is full', () => {
      const full = member('p', { isPrimary: true, activeStatements: 4 });
      expect(chooseId([full, member('r')], { ...read, needsPrimary: true })).to.equal(undefined);
    });
  });

  describe('with more reads than the primary alone can serve', () => {
    /** Simulates reads every 5 ms for 10 s on three endpoints; returns how many found a free slot. */
    const countPlacedStatements = (withReplicas: boolean): number => {
      const members = [primary, member('r'), member('s')].map((entry) => ({ ...entry }));
      const running: { id: string; untilMs: number }[] = [];
      let count = 0;
      for (let nowMs = 0; nowMs < 10_000; nowMs += 5) {
        running
          .filter(({ untilMs }) => untilMs <= nowMs)
          .forEach(({ id }) => {
            const ended = members.find((entry) => entry.id === id);
            if (ended) ended.activeStatements -= 1;
          });
        running.splice(0, running.length, ...running.filter(({ untilMs }) => untilMs > nowMs));
        const chosenMember = chooseStatementEndpoint(
          members,
          { ...read, needsPrimary: !withReplicas },
          nowMs,
        );
        const target = members.find(({ id }) => id === chosenMember?.id);
        if (target) {
          target.activeStatements += 1;
          running.push({ id: target.id, untilMs: nowMs + 40 });
          count += 1;
        }
      }
      return count;
    };

    it('places at least 1.5 times as many with replicas as without', () => {
      expect(countPlacedStatements(true)).to.be.at.least(countPlacedStatements(false) * 1.5);
    });
  });
});
