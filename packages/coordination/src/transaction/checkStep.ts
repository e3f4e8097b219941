import notRun from '../verdict/notRun';
import type StepKind from './stepKind';
import type TransactionProgress from './transactionProgress';

const phaseAfter = (kind: StepKind): TransactionProgress['phase'] =>
  kind === 'begin' || kind === 'statement' ? 'open' : 'ended';

/**
 * Takes one step of a transaction: steps are numbered without gaps, a transaction begins once
 * and takes no step after its end.
 * @throws RefusalError `badRequest` or `transactionAborted`; the step has no effect.
 */
const checkStep = (
  progress: TransactionProgress,
  step: number,
  kind: StepKind | undefined,
): TransactionProgress => {
  if (step !== progress.lastStep + 1) {
    throw notRun('badRequest', `step ${step} follows step ${progress.lastStep}`);
  }
  if (kind === undefined) throw notRun('badRequest', 'the step is empty');
  if (progress.phase === 'ended') throw notRun('transactionAborted', 'the transaction has ended');
  const isBeginExpected = progress.phase === 'new';
  if (isBeginExpected !== (kind === 'begin')) {
    throw notRun('badRequest', isBeginExpected ? 'no transaction is open' : 'already begun');
  }
  return { phase: phaseAfter(kind), lastStep: step };
};

export default checkStep;
