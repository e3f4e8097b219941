import { expect } from 'chai';
import choosePlacement from './choosePlacement';
import type MemberLoad from './memberLoad';

const member = (id: string, changes: Partial<MemberLoad> = {}): MemberLoad => ({
  id,
  isPrimary: false,
  isLeaving: false,
  isDown: false,
  underWay: 0,
  slots: 3,
  canConnect: true,
  hasIdleConnection: true,
  position: { term: 1, number: 10 },
  latencyMs: 25,
  isPausedUntilMs: 0,
  ...changes,
});

const primary = member('p', { isPrimary: true });
const read = {
  needsPrimary: false,
  notBefore: { term: 1, number: 10 },
  excluded: new Set<string>(),
};
const chosen = (members: MemberLoad[], placement = read): string | undefined =>
  choosePlacement(members, placement, 0)?.id;

describe('choosePlacement', () => {
  describe('of a read', () => {
    it('takes a replica before the primary', () => {
      expect(chosen([primary, member('r')])).to.equal('r');
    });

    it('takes the primary when the replicas have much more under way', () => {
      expect(chosen([primary, member('r', { underWay: 3 })])).to.equal('p');
    });

    it('takes a replica that has caught up before one that lags', () => {
      const lagging = member('l', { position: { term: 1, number: 3 } });
      expect(chosen([lagging, member('r', { underWay: 1 })])).to.equal('r');
    });

    it('takes no replica while no fresh position is known', () => {
      expect(chosen([member('r')], { ...read, notBefore: undefined as never })).to.equal(undefined);
    });

    it('takes no endpoint that is down, leaving, paused, full or excluded', () => {
      const members = [
        member('a', { isDown: true }),
        member('b', { isLeaving: true }),
        member('c', { isPausedUntilMs: 1 }),
        member('d', { underWay: 4 }),
        member('e', { canConnect: false }),
        member('f'),
      ];
      expect(chosen(members, { ...read, excluded: new Set(['f']) })).to.equal(undefined);
    });
  });

  describe('of what only the primary serves', () => {
    it('waits for the primary', () => {
      const full = member('p', { isPrimary: true, underWay: 4 });
      expect(chosen([full, member('r')], { ...read, needsPrimary: true })).to.equal(undefined);
    });
  });

  describe('under reads beyond what the primary alone can serve', () => {
    /** Serves arrivals every 5 ms for 10 s with three endpoints; returns how many were placed at once. */
    const placed = (withReplicas: boolean): number => {
      const members = [primary, member('r'), member('s')].map((entry) => ({ ...entry }));
      const running: { id: string; untilMs: number }[] = [];
      let count = 0;
      for (let nowMs = 0; nowMs < 10_000; nowMs += 5) {
        running
          .filter(({ untilMs }) => untilMs <= nowMs)
          .forEach(({ id }) => {
            const ended = members.find((entry) => entry.id === id);
            if (ended) ended.underWay -= 1;
          });
        running.splice(0, running.length, ...running.filter(({ untilMs }) => untilMs > nowMs));
        const found = choosePlacement(members, { ...read, needsPrimary: !withReplicas }, nowMs);
        const target = members.find(({ id }) => id === found?.id);
        if (target) {
          target.underWay += 1;
          running.push({ id: target.id, untilMs: nowMs + 40 });
          count += 1;
        }
      }
      return count;
    };

    it('serves at least one and a half times as many', () => {
      expect(placed(true)).to.be.at.least(placed(false) * 1.5);
    });
  });
});
