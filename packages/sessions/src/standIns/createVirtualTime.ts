/** A process that can be frozen or killed; its timers and messages wait, or are dropped, with it. */
interface SimulatedProcess {
  isAlive: boolean;
  /** Whether its steady clock stands still, set while it is frozen. */
  frozen: { sinceMs: number; standsStill: boolean } | undefined;
  stoodStillMs: number;
  held: Task[];
}

interface Task {
  owner: SimulatedProcess | undefined;
  /** For a timer of a process: when it is due on the process's steady clock. A message has none. */
  dueSteadyMs: number | undefined;
  isCancelled: boolean;
  run(): void;
}

const GLOBAL_TIMERS = [
  'setTimeout',
  'clearTimeout',
  'setInterval',
  'clearInterval',
  'setImmediate',
] as const;

/**
 * Virtual time in whole milliseconds. While `run` lasts, the global timers are timers of the process whose task set
 * them. Each task's promises settle before the next task runs, so that a run depends on nothing but its inputs.
 */
const createVirtualTime = () => {
  const tasksByMs = new Map<number, Task[]>();
  let nowMs = 0;
  let current: SimulatedProcess | undefined;
  const { setImmediate: startRealTurn } = globalThis;

  const steadyMs = ({ frozen, stoodStillMs }: SimulatedProcess): number =>
    (frozen?.standsStill ? frozen.sinceMs : nowMs) - stoodStillMs;
  const push = (task: Task, delayMs: number): Task => {
    const atMs = nowMs + Math.max(0, Math.ceil(delayMs));
    const tasks = tasksByMs.get(atMs);
    if (tasks) tasks.push(task);
    else tasksByMs.set(atMs, [task]);
    return task;
  };
  /** Runs a task of the process, or of the world, after a delay on the world's clock. */
  const post = (owner: SimulatedProcess | undefined, delayMs: number, run: () => void): Task =>
    push({ owner, dueSteadyMs: undefined, isCancelled: false, run }, delayMs);
  /** Runs a task of the process after a delay on its steady clock. */
  const postTimer = (
    owner: SimulatedProcess | undefined,
    delayMs: number,
    run: () => void,
  ): Task => {
    const dueSteadyMs = owner && steadyMs(owner) + Math.ceil(delayMs);
    return push({ owner, dueSteadyMs, isCancelled: false, run }, delayMs);
  };
  const startTimer = (run: () => void, delayMs = 0): Task =>
    postTimer(current, Math.max(1, delayMs), run);
  const startInterval = (run: () => void, delayMs: number) => {
    const interval = { isCancelled: false };
    const repeat = (): void => {
      if (interval.isCancelled) return;
      startTimer(repeat, delayMs);
      run();
    };
    startTimer(repeat, delayMs);
    return interval;
  };
  const cancel = (task: { isCancelled: boolean } | undefined): void => {
    if (task) Object.assign(task, { isCancelled: true });
  };
  const timers = {
    setTimeout: startTimer,
    clearTimeout: cancel,
    setInterval: startInterval,
    clearInterval: cancel,
    setImmediate: (run: () => void) => postTimer(current, 0, run),
  };

  const runTask = async (task: Task): Promise<void> => {
    const { owner, dueSteadyMs } = task;
    if (task.isCancelled || owner?.isAlive === false) return;
    if (owner?.frozen) {
      owner.held.push(task);
      return;
    }
    if (owner && dueSteadyMs !== undefined && dueSteadyMs > steadyMs(owner)) {
      push(task, dueSteadyMs - steadyMs(owner));
      return;
    }
    current = owner;
    task.run();
    await new Promise((resolve) => {
      startRealTurn(resolve);
    });
    current = undefined;
  };

  return {
    nowMs: () => nowMs,
    steadyMs,
    post,
    postTimer,
    startProcess: (): SimulatedProcess => ({
      isAlive: true,
      frozen: undefined,
      stoodStillMs: 0,
      held: [],
    }),
    freeze: (target: SimulatedProcess, standsStill: boolean): void => {
      Object.assign(target, { frozen: { sinceMs: nowMs, standsStill } });
    },
    /** @param losesMessages Whether its connections were reset, with the messages on them. */
    thaw: (target: SimulatedProcess, losesMessages = false): void => {
      const { frozen, stoodStillMs } = target;
      if (!frozen) return;
      const addedMs = frozen.standsStill ? nowMs - frozen.sinceMs : 0;
      Object.assign(target, { frozen: undefined, stoodStillMs: stoodStillMs + addedMs });
      target.held
        .splice(0)
        .filter(({ dueSteadyMs }) => dueSteadyMs !== undefined || !losesMessages)
        .forEach((task) => push(task, 0));
    },
    /** Runs all tasks up to a time. */
    run: async (untilMs: number): Promise<void> => {
      const realTimers = GLOBAL_TIMERS.map((name) => [name, globalThis[name]]);
      Object.assign(globalThis, timers);
      try {
        for (; nowMs < untilMs; nowMs += 1) {
          const tasks = tasksByMs.get(nowMs) ?? [];
          // Tasks that are added for this same moment run as well.
          for (let index = 0; index < tasks.length; index += 1) await runTask(tasks[index] as Task);
          tasksByMs.delete(nowMs);
        }
      } finally {
        Object.assign(globalThis, Object.fromEntries(realTimers));
      }
    },
  };
};

export default createVirtualTime;
