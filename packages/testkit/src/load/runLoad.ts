import { setTimeout as sleep } from 'node:timers/promises';
import { AccessMode, Verdict, createCallerClient } from '@auburngrade/caller';

type Caller = ReturnType<typeof createCallerClient>;

interface LoadOptions {
  /** The callers, each of one VM, taken in turn. */
  callers: Caller[];
  ratePerS: number;
  durationMs: number;
  profile: string;
  group: string;
  timeoutMs?: number;
}

interface LoadReport {
  offered: number;
  ran: number;
  /** Refusals and failures by code. */
  refused: Record<string, number>;
  latenciesMs: number[];
  elapsedMs: number;
}

const TICK_MS = 5;
const MS_PER_S = 1_000;
const TIMEOUT_MS = 3_000;
const SELECT = 'SELECT value FROM items WHERE key = $1';

/** Sends reads at a steady rate, without waiting for answers, and counts how they end. */
const runLoad = async (options: LoadOptions): Promise<LoadReport> => {
  const { callers, ratePerS, durationMs, profile, group } = options;
  const startedAtMs = performance.now();
  const report: LoadReport = { offered: 0, ran: 0, refused: {}, latenciesMs: [], elapsedMs: 0 };
  const pending: Promise<void>[] = [];

  const note = (code: string): void => {
    report.refused[code] = (report.refused[code] ?? 0) + 1;
  };

  const send = async (caller: Caller): Promise<void> => {
    const sentAtMs = performance.now();
    try {
      const outcome = await caller.execute({
        profile,
        group,
        accessMode: AccessMode.READ,
        sql: SELECT,
        parameters: [{ text: 'bale' }],
        timeoutMs: options.timeoutMs ?? TIMEOUT_MS,
      });
      if (outcome.verdict !== Verdict.RAN) note(outcome.refusal?.code ?? 'none');
      else {
        report.ran += 1;
        report.latenciesMs.push(performance.now() - sentAtMs);
      }
    } catch {
      note('noAnswer');
    }
  };

  while (performance.now() - startedAtMs < durationMs) {
    const due = ((performance.now() - startedAtMs) * ratePerS) / MS_PER_S;
    while (report.offered < due) {
      const caller = callers[report.offered % callers.length];
      report.offered += 1;
      if (caller) pending.push(send(caller));
    }
    await sleep(TICK_MS);
  }
  await Promise.all(pending);
  report.elapsedMs = performance.now() - startedAtMs;
  return report;
};

export default runLoad;
