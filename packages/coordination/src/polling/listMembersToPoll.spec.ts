import { expect } from 'chai';
import type MemberStatus from '../acknowledgement/memberStatus';
import type TermRecord from '../configuration/termRecord';
import listMembersToPoll from './listMembersToPoll';

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
  /** Status fields that differ for one member. */
  changed?: Partial<MemberStatus> & { member: string };
  /** Member that does not answer. */
  silent?: string;
  sinceRequestMs?: number;
  /** Age of every member's status. */
  statusAgeMs: number;
}

const NOW_MS = 100_000;

const listPolledMembers = (chosen: Case): string[] =>
  listMembersToPoll({
    record: 'record' in chosen ? chosen.record : RECORD,
    activeMembers: chosen.activeMembers ?? NAMES,
    lastRequestAtMs: NOW_MS - (chosen.sinceRequestMs ?? 50_000),
    nowMs: NOW_MS,
    views: NAMES.map((member) => ({
      member,
      status: {
        member,
        role: member === 'm1' ? 'primary' : 'replica',
        fencedTerm: 2,
        logTerm: 2,
        position: 7,
        askedAtMs: NOW_MS - chosen.statusAgeMs,
        ...(chosen.changed?.member === member ? chosen.changed : {}),
      },
      unansweredSinceMs: chosen.silent === member ? NOW_MS : undefined,
    })),
  });

describe('membersToPoll', () => {
  describe('in an idle group', () => {
    it('polls the primary every 8 s and the replicas every minute', () => {
      expect(listPolledMembers({ statusAgeMs: 7_999 })).to.deep.equal([]);
      expect(listPolledMembers({ statusAgeMs: 8_000 })).to.deep.equal(['m1']);
      expect(listPolledMembers({ statusAgeMs: 60_000 })).to.deep.equal(NAMES);
    });
  });

  describe('in a group with requests', () => {
    it('polls all members every half second, for 5 s after the last request', () => {
      expect(listPolledMembers({ statusAgeMs: 499, sinceRequestMs: 0 })).to.deep.equal([]);
      expect(listPolledMembers({ statusAgeMs: 500, sinceRequestMs: 4_999 })).to.deep.equal(NAMES);
      expect(listPolledMembers({ statusAgeMs: 500, sinceRequestMs: 5_000 })).to.deep.equal([]);
    });
  });

  describe('in a group that is not settled', () => {
    const cases: [string, Omit<Case, 'statusAgeMs'>][] = [
      ['there is no term record', { record: undefined }],
      ['a promotion is in progress', { record: { ...RECORD, state: 'promoting' } }],
      ['the members differ from the voters', { activeMembers: ['m1', 'm2'] }],
      ['the primary reports the role of a replica', { changed: { member: 'm1', role: 'replica' } }],
      ['a replica reports the role of the primary', { changed: { member: 'm2', role: 'primary' } }],
      ['a replica is fenced at an older term', { changed: { member: 'm3', fencedTerm: 1 } }],
      ['a replica lags behind the primary', { changed: { member: 'm3', position: 6 } }],
      ['a member does not answer', { silent: 'm2' }],
    ];

    cases.forEach(([reason, chosen]) => {
      it(`polls all members every half second: ${reason}`, () => {
        expect(listPolledMembers({ ...chosen, statusAgeMs: 500 })).to.deep.equal(NAMES);
      });
    });

    it('polls a member that did not answer again at once', () => {
      expect(listPolledMembers({ silent: 'm2', statusAgeMs: 10 })).to.deep.equal(['m2']);
    });
  });
});
