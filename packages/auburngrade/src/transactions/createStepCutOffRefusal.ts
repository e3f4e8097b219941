import {
  createMayHaveRunError,
  createNotRunError,
  type RefusalError,
  type StepKind,
} from '@auburngrade/coordination';

const RETRY_AFTER_MS = 100;

/**
 * Creates the answer to a step that was under way when a VM that stops ended its wait. Only a
 * commit may have taken effect; before one, the transaction is rolled back with its connection.
 */
const createStepCutOffRefusal = (kind: StepKind | undefined): RefusalError => {
  if (kind === 'commit')
    return createMayHaveRunError('outcomeUnknown', 'the VM shut down before the commit was known');
  if (kind === 'begin')
    return createNotRunError('shuttingDown', 'the VM is shutting down', RETRY_AFTER_MS);
  return createNotRunError(
    'transactionAborted',
    'the VM shut down; the transaction is rolled back',
  );
};

export default createStepCutOffRefusal;
