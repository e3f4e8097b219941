import { expect } from 'chai';
import type TermRecord from '../configuration/termRecord';
import createFollowRepair from './createFollowRepair';
import type MemberView from './memberView';

const RECORD: TermRecord = {
  term: 2,
  state: 'active',
  primary: 'm1',
  voters: ['m1', 'm2'],
  history: [{ term: 2, startPosition: 0 }],
};

const view = (member: string, position: number, askedAtMs: number, fencedTerm = 2): MemberView => ({
  member,
  status: {
    member,
    role: member === 'm1' ? 'primary' : 'replica',
    fencedTerm,
    logTerm: 2,
    position,
    askedAtMs,
  },
  unansweredSinceMs: undefined,
});

const dueAt = (repair: ReturnType<typeof createFollowRepair>, atMs: number, position: number) =>
  repair.due(RECORD, [view('m1', 9, atMs), view('m2', position, atMs)]);

describe('members that are told again whom to follow', () => {
  it('are those that stay behind from one poll to the next', () => {
    const repair = createFollowRepair();
    expect(dueAt(repair, 0, 5)).to.deep.equal([]);
    expect(dueAt(repair, 299, 5)).to.deep.equal([]);
    expect(dueAt(repair, 300, 5)).to.deep.equal(['m2']);
  });

  it('are not those that were not polled again', () => {
    const repair = createFollowRepair();
    const views = [view('m1', 9, 0), view('m2', 5, 0)];
    Array.from({ length: 10 }, () => expect(repair.due(RECORD, views)).to.deep.equal([]));
  });

  it('are not those that make progress or have caught up', () => {
    const repair = createFollowRepair();
    [5, 6, 7, 8, 9, 9].forEach((position, index) =>
      expect(dueAt(repair, index * 500, position)).to.deep.equal([]),
    );
  });

  it('are those under an older term', () => {
    const repair = createFollowRepair();
    const views = (atMs: number) => [view('m1', 9, atMs), view('m2', 9, atMs, 1)];
    expect(repair.due(RECORD, views(0))).to.deep.equal([]);
    expect(repair.due(RECORD, views(500))).to.deep.equal(['m2']);
  });

  it('are told less and less often', () => {
    const repair = createFollowRepair();
    const toldAtMs = Array.from({ length: 40 }, (_, index) => index * 100).filter(
      (atMs) => dueAt(repair, atMs, 5).length > 0,
    );
    expect(toldAtMs).to.deep.equal([300, 900, 2_100]);
  });
});
