import { randomUUID } from 'node:crypto';
import type { Fleet, LoadRecord } from '@auburngrade/testkit';
import { AccessMode, Verdict } from '@auburngrade/caller';
import type MeasuredAccount from './measuredAccount';

interface GapProbeOptions {
  fleet: Fleet;
  profile: string;
  group: string;
  account: MeasuredAccount;
}

const WRITE_INTERVAL_MS = 200;
const TIMEOUT_MS = 2_000;
const VERDICTS: Record<number, LoadRecord['verdict']> = {
  [Verdict.RAN]: 'ran',
  [Verdict.NOT_RUN]: 'notRun',
};
const UPSERT =
  'INSERT INTO items (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = EXCLUDED.value';

/**
 * Writes to one group through each VM at short intervals. The load alone sends a VM about one
 * write a second to a group, so its first acknowledged write says more about when it was sent
 * than about when the VM could serve it.
 */
const createGapProbe = ({ fleet, profile, group, account }: GapProbeOptions) => {
  const vms = fleet.names.map(({ vm }) => ({ vm, caller: fleet.caller(vm, account.key) }));
  const records: LoadRecord[] = [];
  const pending = new Set<Promise<void>>();
  let startedAtMs = 0;
  let timer: NodeJS.Timeout | undefined;

  const write = async ({ vm, caller }: (typeof vms)[number]): Promise<void> => {
    const item = `o-${randomUUID()}`;
    const sentAtMs = performance.now();
    const outcome = await caller
      .execute({
        profile,
        group,
        accessMode: AccessMode.WRITE,
        sql: UPSERT,
        parameters: [{ text: item }, { text: '1' }],
        requestId: randomUUID(),
        timeoutMs: TIMEOUT_MS,
      })
      .catch(() => undefined);
    records.push({
      atMs: sentAtMs - startedAtMs,
      latencyMs: performance.now() - sentAtMs,
      account: account.name,
      vm,
      group,
      kind: 'once',
      item,
      verdict: outcome ? (VERDICTS[outcome.verdict] ?? 'mayHaveRun') : 'noAnswer',
      code: outcome?.refusal?.code ?? '',
      servedByRole: outcome?.servedBy?.role ?? '',
      isStale: false,
    });
  };

  const writeAll = (): void =>
    vms.forEach((target) => {
      const request = write(target);
      pending.add(request);
      request.finally(() => pending.delete(request));
    });

  return {
    start: (): void => {
      startedAtMs = performance.now();
      timer = setInterval(writeAll, WRITE_INTERVAL_MS);
    },
    /** Stops writing and waits for what is under way. */
    stop: async (): Promise<LoadRecord[]> => {
      clearInterval(timer);
      await Promise.all(pending);
      vms.forEach(({ caller }) => caller.close());
      return records;
    },
  };
};

export default createGapProbe;
