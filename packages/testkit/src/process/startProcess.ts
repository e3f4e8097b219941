import { spawn } from 'node:child_process';

/** How long a started process may take to say that it is ready. */
const READY_TIMEOUT_MS = 20_000;
const STOP_TIMEOUT_MS = 15_000;

interface ProcessOptions {
  command: string;
  args: string[];
  /** Text on standard output or error that shows that the process is ready. */
  readyText: string;
}

/** Starts a child process of a test and waits until it is ready. */
const startProcess = async ({ command, args, readyText }: ProcessOptions) => {
  const child = spawn(command, args, { stdio: ['ignore', 'pipe', 'pipe'] });
  const output: string[] = [];
  let isExited = false;
  const exited = new Promise<number | null>((resolve) => {
    child.on('exit', (code) => {
      isExited = true;
      resolve(code);
    });
  });
  const killAtExit = (): void => {
    if (!isExited) child.kill('SIGKILL');
  };
  process.on('exit', killAtExit);
  exited.finally(() => process.off('exit', killAtExit));

  await new Promise<void>((resolve, reject) => {
    const timer = setTimeout(
      () => reject(new Error(`not ready: ${command}\n${output.join('')}`)),
      READY_TIMEOUT_MS,
    );
    const read = (data: Buffer): void => {
      output.push(data.toString());
      if (!data.includes(readyText)) return;
      clearTimeout(timer);
      resolve();
    };
    child.stdout.on('data', read);
    child.stderr.on('data', read);
    exited.then((code) => {
      clearTimeout(timer);
      reject(new Error(`exited with ${code}: ${command}\n${output.join('')}`));
    });
  });

  return {
    pid: child.pid ?? 0,
    output: () => output.join(''),
    exited,
    signal: (name: NodeJS.Signals): boolean => child.kill(name),
    /** Ends the process at once. */
    kill: async (): Promise<void> => {
      child.kill('SIGKILL');
      await exited;
    },
    /** Asks the process to stop; resolves with its exit code. */
    stop: async (): Promise<number | null> => {
      child.kill('SIGCONT');
      child.kill('SIGTERM');
      const timer = setTimeout(() => child.kill('SIGKILL'), STOP_TIMEOUT_MS);
      const code = await exited;
      clearTimeout(timer);
      return code;
    },
  };
};

export default startProcess;
