import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { AccessMode, Verdict, type Outcome } from '@auburngrade/caller';
import type { Fleet } from '@auburngrade/testkit';

interface WriteStreamOptions {
  fleet: Fleet;
  key: string;
  group: string;
  vms: string[];
  timeoutMs?: number;
}

const ADD = 'UPDATE items SET value = value + $1 WHERE key = $2';
const RETRY_DELAY_MS = 10;
const GAP_MS = 100;
const DEFAULT_TIMEOUT_MS = 5_000;

/** Adds 1 to one item again and again through several VMs and counts the verdicts. */
const createWriteStream = ({ fleet, key, group, vms, timeoutMs }: WriteStreamOptions) => {
  const item = `item-${randomUUID()}`;
  const codes: Record<string, number> = {};
  const ranIds: string[] = [];
  const notRunIds: string[] = [];
  let ranCount = 0;
  let mayHaveRunCount = 0;
  let longestGapMs = 0;
  let lastRanAtMs: number | undefined;
  let ranSinceLastGap = 0;
  let isStopped = false;

  const noteRan = (): void => {
    const nowMs = performance.now();
    const gapMs = lastRanAtMs === undefined ? 0 : nowMs - lastRanAtMs;
    longestGapMs = Math.max(longestGapMs, gapMs);
    ranSinceLastGap = gapMs > GAP_MS ? 0 : ranSinceLastGap + 1;
    lastRanAtMs = nowMs;
    ranCount += 1;
  };

  const note = (requestId: string, outcome: Outcome): void => {
    if (outcome.verdict === Verdict.RAN) {
      noteRan();
      ranIds.push(requestId);
      return;
    }
    const name = `${Verdict[outcome.verdict]}/${outcome.refusal?.code}`;
    codes[name] = (codes[name] ?? 0) + 1;
    if (outcome.verdict === Verdict.NOT_RUN) notRunIds.push(requestId);
    else mayHaveRunCount += 1;
  };

  /** Whether the write ran. */
  const writeOnce = async (caller: ReturnType<Fleet['caller']>): Promise<boolean> => {
    const requestId = randomUUID();
    try {
      const outcome = await caller.execute({
        profile: 'bids',
        group,
        accessMode: AccessMode.WRITE,
        sql: ADD,
        parameters: [{ text: '1' }, { text: item }],
        requestId,
        timeoutMs: timeoutMs ?? DEFAULT_TIMEOUT_MS,
      });
      note(requestId, outcome);
      return outcome.verdict === Verdict.RAN;
    } catch {
      mayHaveRunCount += 1;
      return false;
    }
  };

  const run = async (vm: string): Promise<void> => {
    const caller = fleet.caller(vm, key);
    while (!isStopped) {
      if (!(await writeOnce(caller))) await sleep(RETRY_DELAY_MS);
    }
    caller.close();
  };

  const running = Promise.all(vms.map(run));

  return {
    item,
    ranCount: () => ranCount,
    /** Writes that ran since the last pause of the stream. */
    ranSinceLastGap: () => (longestGapMs > GAP_MS ? ranSinceLastGap : 0),
    stop: async () => {
      isStopped = true;
      await running;
      return {
        ranCount,
        mayHaveRunCount,
        notRunIds,
        ranIds,
        codes,
        longestGapMs: Math.round(longestGapMs),
      };
    },
  };
};

export default createWriteStream;
