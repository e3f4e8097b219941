import createNotRunError from '../verdict/createNotRunError';
import type StepKind from './stepKind';
import type TransactionProgress from './transactionProgress';

const phaseAfter = (kind: StepKind): TransactionProgress['phase'] =>
  kind === 'begin' || kind === 'statement' ? 'open' : 'ended';

/**
 * Validates the next step of an interactive transaction and returns the progress after it. Step
 * numbers have no gaps, the first step is `begin`, and no step may follow a commit or rollback.
 * @throws RefusalError `badRequest` or `transactionAborted`; the step has no effect.
 */
const acceptStep = (
  progress: TransactionProgress,
  step: number,
  kind: StepKind | undefined,
): TransactionProgress => {
  if (step !== progress.lastStep + 1) {
    throw createNotRunError(
      'badRequest',
      `step ${step} is out of order after step ${progress.lastStep}`,
    );
  }
  if (kind === undefined)
    throw createNotRunError('badRequest', 'the transaction step has no content');
  if (progress.phase === 'ended')
    throw createNotRunError('transactionAborted', 'the transaction has ended');
  const isBeginExpected = progress.phase === 'new';
  if (isBeginExpected !== (kind === 'begin')) {
    throw createNotRunError(
      'badRequest',
      isBeginExpected ? 'the first step must be a begin' : 'the transaction has already begun',
    );
  }
  return { phase: phaseAfter(kind), lastStep: step };
};

export default acceptStep;
