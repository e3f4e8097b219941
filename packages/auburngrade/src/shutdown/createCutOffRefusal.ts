import {
  createMayHaveRunError,
  createNotRunError,
  type RefusalError,
  type Verdict,
} from '@auburngrade/coordination';

const RETRY_AFTER_MS = 100;

/** Creates the answer to a request that was still under way when a VM that stops ended its wait. */
const createCutOffRefusal = (verdict: Exclude<Verdict, 'ran'>): RefusalError =>
  verdict === 'notRun'
    ? createNotRunError(
        'shuttingDown',
        'the VM shuts down; the request had not started',
        RETRY_AFTER_MS,
      )
    : createMayHaveRunError('shuttingDown', 'the VM shut down before the outcome was known');

export default createCutOffRefusal;
