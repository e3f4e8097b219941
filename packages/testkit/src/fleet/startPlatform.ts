import freePort from '../process/freePort';
import startProcess from '../process/startProcess';
import programPath from './programPath';

type Fault = 'isDown' | 'delayMs' | 'loseAnswers' | 'loseWriteAnswers';

/** Starts the platform's stand-in as a process. */
const startPlatform = async () => {
  const [port, controlPort] = [await freePort(), await freePort()];
  const child = await startProcess({
    command: process.execPath,
    args: [programPath('testkit/platform.cjs'), JSON.stringify({ port, controlPort })],
    readyText: 'ready',
  });
  const control = async (path: string): Promise<Record<string, number>> => {
    const response = await fetch(`http://127.0.0.1:${controlPort}${path}`);
    return (await response.json()) as Record<string, number>;
  };
  return {
    ...child,
    port,
    counts: () => control('/counts'),
    setFault: (fault: Fault, value: number) => control(`/faults?${fault}=${value}`),
    /** Restores the store from a copy as of an earlier history position. */
    restore: (position: number) => control(`/restore?position=${position}`),
    setVm: (vm: string, value: Record<string, unknown> | undefined) =>
      control(
        value === undefined
          ? `/vms/${vm}`
          : `/vms/${vm}?value=${encodeURIComponent(JSON.stringify(value))}`,
      ),
  };
};

export default startPlatform;
