import { expect } from 'chai';
import type MemberStatus from '../acknowledgement/memberStatus';
import type TermRecord from '../configuration/termRecord';
import membersToPoll from './membersToPoll';

const NAMES = ['m1', 'm2', 'm3'];
const RECORD: TermRecord = {
  term: 2,
  state: 'active',
  primary: 'm1',
  voters: NAMES,
  history: [{ term: 2, startPosition: 0 }],
};

interface Case {
  record?: TermRecord | undefined;
  activeMembers?: string[];
  /** Changes to the status of one member. */
  changed?: Partial<MemberStatus> & { member: string };
  silent?: string;
  usedAgoMs?: number;
  /** The age of every status. */
  agoMs: number;
}

const NOW_MS = 100_000;

const polled = (chosen: Case): string[] =>
  membersToPoll({
    record: 'record' in chosen ? chosen.record : RECORD,
    activeMembers: chosen.activeMembers ?? NAMES,
    usedAtMs: NOW_MS - (chosen.usedAgoMs ?? 50_000),
    nowMs: NOW_MS,
    views: NAMES.map((member) => ({
      member,
      status: {
        member,
        role: member === 'm1' ? 'primary' : 'replica',
        fencedTerm: 2,
        logTerm: 2,
        position: 7,
        askedAtMs: NOW_MS - chosen.agoMs,
        ...(chosen.changed?.member === member ? chosen.changed : {}),
      },
      unansweredSinceMs: chosen.silent === member ? NOW_MS : undefined,
    })),
  });

describe('members whose status has to be polled', () => {
  describe('in a group without requests', () => {
    it('are the primary every 8 s and the replicas every minute', () => {
      expect(polled({ agoMs: 7_999 })).to.deep.equal([]);
      expect(polled({ agoMs: 8_000 })).to.deep.equal(['m1']);
      expect(polled({ agoMs: 60_000 })).to.deep.equal(NAMES);
    });
  });

  describe('in a group with requests', () => {
    it('are all whose status is half a second old, for 5 s after the last request', () => {
      expect(polled({ agoMs: 499, usedAgoMs: 0 })).to.deep.equal([]);
      expect(polled({ agoMs: 500, usedAgoMs: 4_999 })).to.deep.equal(NAMES);
      expect(polled({ agoMs: 500, usedAgoMs: 5_000 })).to.deep.equal([]);
    });
  });

  describe('in a group where something is under way', () => {
    const cases: [string, Omit<Case, 'agoMs'>][] = [
      ['no term is recorded', { record: undefined }],
      ['a promotion is under way', { record: { ...RECORD, state: 'promoting' } }],
      ['the members differ from the voters', { activeMembers: ['m1', 'm2'] }],
      ['the primary has lost its role', { changed: { member: 'm1', role: 'replica' } }],
      ['a replica thinks that it is the primary', { changed: { member: 'm2', role: 'primary' } }],
      ['a replica obeys an older term', { changed: { member: 'm3', fencedTerm: 1 } }],
      ['a replica is behind', { changed: { member: 'm3', position: 6 } }],
      ['a member does not answer', { silent: 'm2' }],
    ];

    cases.forEach(([what, chosen]) => {
      it(`are all every half second: ${what}`, () => {
        expect(polled({ ...chosen, agoMs: 500 })).to.deep.equal(NAMES);
      });
    });

    it('are at once those that did not answer', () => {
      expect(polled({ silent: 'm2', agoMs: 10 })).to.deep.equal(['m2']);
    });
  });
});
