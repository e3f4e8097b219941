import type startProcess from './startProcess';

/** A child process of a test. */
type RunningProcess = Awaited<ReturnType<typeof startProcess>>;

export default RunningProcess;
