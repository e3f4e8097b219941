import { expect } from 'chai';
import type TermRecord from '../configuration/termRecord';
import createReplicationRepair from './createReplicationRepair';
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

const membersDueAt = (
  repair: ReturnType<typeof createReplicationRepair>,
  atMs: number,
  position: number,
) => repair.listMembersToRepair(RECORD, [view('m1', 9, atMs), view('m2', position, atMs)]);

describe('createReplicationRepair', () => {
  it('returns a replica that lags without progress for 300 ms of polls', () => {
    const repair = createReplicationRepair();
    expect(membersDueAt(repair, 0, 5)).to.deep.equal([]);
    expect(membersDueAt(repair, 299, 5)).to.deep.equal([]);
    expect(membersDueAt(repair, 300, 5)).to.deep.equal(['m2']);
  });

  it('does not return a replica that was not polled again', () => {
    const repair = createReplicationRepair();
    const views = [view('m1', 9, 0), view('m2', 5, 0)];
    Array.from({ length: 10 }, () =>
      expect(repair.listMembersToRepair(RECORD, views)).to.deep.equal([]),
    );
  });

  it('does not return a replica that makes progress or has caught up', () => {
    const repair = createReplicationRepair();
    [5, 6, 7, 8, 9, 9].forEach((position, index) =>
      expect(membersDueAt(repair, index * 500, position)).to.deep.equal([]),
    );
  });

  it('returns a replica fenced at an older term', () => {
    const repair = createReplicationRepair();
    const views = (atMs: number) => [view('m1', 9, atMs), view('m2', 9, atMs, 1)];
    expect(repair.listMembersToRepair(RECORD, views(0))).to.deep.equal([]);
    expect(repair.listMembersToRepair(RECORD, views(500))).to.deep.equal(['m2']);
  });

  it('doubles the delay before it returns the same replica again', () => {
    const repair = createReplicationRepair();
    const repairedAtMs = Array.from({ length: 40 }, (_, index) => index * 100).filter(
      (atMs) => membersDueAt(repair, atMs, 5).length > 0,
    );
    expect(repairedAtMs).to.deep.equal([300, 900, 2_100]);
  });
});
