import { expect } from 'chai';
import decideQueuedStatement from './decideQueuedStatement';

const blocked = {
  needsPrimary: true,
  isPrimaryEvacuated: true,
  hasCandidate: false,
  isReplacementBlocked: false,
  canReadAtReplica: false,
};

describe('decideQueuedStatement', () => {
  it('refuses what needs an evacuated primary that nothing can replace', () => {
    expect(decideQueuedStatement(blocked)).to.equal('refuse');
    const waiting = { ...blocked, hasCandidate: true, isReplacementBlocked: true };
    expect(decideQueuedStatement(waiting)).to.equal('refuse');
  });

  it('lets it wait for a replacement that is possible, and for a primary that may be used', () => {
    expect(decideQueuedStatement({ ...blocked, hasCandidate: true })).to.equal('wait');
    expect(decideQueuedStatement({ ...blocked, isPrimaryEvacuated: false })).to.equal('wait');
  });

  it('refuses reads once no replica can be shown to be fresh enough', () => {
    const read = { ...blocked, needsPrimary: false };
    expect(decideQueuedStatement({ ...read, canReadAtReplica: true })).to.equal('wait');
    expect(decideQueuedStatement(read)).to.equal('refuse');
  });
});
