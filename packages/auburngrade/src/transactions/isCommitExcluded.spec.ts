import { expect } from 'chai';
import { EndpointError } from '@auburngrade/endpoint';
import isCommitExcluded from './isCommitExcluded';

const REFUSED_TERM = 'AG001';
const failed = (sqlState?: string) => new EndpointError('statementFailed', 'failed', sqlState);

// Guards against "not run" for a commit whose error came after it had taken effect.
describe('isCommitExcluded', () => {
  it('is true for a commit that was not sent', () => {
    expect(isCommitExcluded(new EndpointError('notSent', 'closed'), REFUSED_TERM)).to.equal(true);
  });

  it('is true for errors that undo the transaction', () => {
    ['23505', '25P02', '40001', REFUSED_TERM].forEach((sqlState) =>
      expect(isCommitExcluded(failed(sqlState), REFUSED_TERM), sqlState).to.equal(true),
    );
  });

  it('is false for all other errors', () => {
    ['40003', '57P01', '57014', '08006', 'XX000', '53300', undefined].forEach((sqlState) =>
      expect(isCommitExcluded(failed(sqlState), REFUSED_TERM), sqlState).to.equal(false),
    );
    ['connectionLost', 'timeout'].forEach((kind) =>
      expect(isCommitExcluded(new EndpointError(kind as 'timeout', 'lost'), REFUSED_TERM)).to.equal(
        false,
      ),
    );
    expect(isCommitExcluded(new Error('internal'), REFUSED_TERM)).to.equal(false);
  });
});
