import { randomUUID } from 'node:crypto';
import { AccessMode, Verdict, type Outcome } from '@auburngrade/caller';
import type Fleet from '../fleet/fleet';
import waitFor from '../process/waitFor';
import createLoadSession from './createLoadSession';
import type LoadAccount from './loadAccount';
import type LoadRecord from './loadRecord';
import type LoadSession from './loadSession';

interface LoadOptions {
  fleet: Fleet;
  profile: string;
  groups: string[];
  accounts: LoadAccount[];
  /** Part of the requests that read. */
  readRatio: number;
}

type Plan = Pick<LoadRecord, 'kind' | 'item' | 'group'> & {
  sql: string;
  parameters: string[];
  session: LoadSession;
  value: number;
};

const TICK_MS = 5;
const MS_PER_S = 1_000;
const TIMEOUT_MS = 2_000;
const SESSIONS_PER_GROUP = 4;
const LOAD_ID_CHARS = 8;
const PREPARE_TIMEOUT_MS = 20_000;
const UPSERT =
  'INSERT INTO items (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = EXCLUDED.value';
const ADD = 'UPDATE items SET value = value + $1 WHERE key = $2';
const SELECT = 'SELECT value FROM items WHERE key = $1';
const VERDICTS: Record<number, LoadRecord['verdict']> = {
  [Verdict.RAN]: 'ran',
  [Verdict.NOT_RUN]: 'notRun',
};

const pick = <Item>(items: Item[]): Item => {
  const item = items[Math.floor(Math.random() * items.length)];
  if (item === undefined) throw new Error('nothing to pick from');
  return item;
};

/** Sends requests of client accounts at steady rates through VMs picked by chance. */
const createLoad = ({ fleet, profile, groups, accounts, readRatio }: LoadOptions) => {
  type Caller = ReturnType<Fleet['caller']>;
  /** Keeps the items of one load apart from those of another on the same fleet. */
  const loadId = randomUUID().slice(0, LOAD_ID_CHARS);
  const callers = new Map<string, Caller>();
  const sessions = new Map<string, LoadSession[]>();
  const records: LoadRecord[] = [];
  const pending = new Set<Promise<void>>();
  const due = new Map<string, number>();
  let balancedVms = [...fleet.vms.keys()];
  let startedAtMs = 0;
  let timer: NodeJS.Timeout | undefined;

  accounts.forEach(({ name }) => {
    const own = groups.flatMap((group) =>
      Array.from({ length: SESSIONS_PER_GROUP }, (_, index) =>
        createLoadSession(`s-${loadId}-${name}-${group}-${index}`, group),
      ),
    );
    sessions.set(name, own);
  });

  const counterOf = (account: string, group: string): string => `c-${loadId}-${account}-${group}`;

  const callerOf = (vm: string, { name, key }: LoadAccount): Caller => {
    const known = callers.get(`${vm}/${name}`) ?? fleet.caller(vm, key);
    callers.set(`${vm}/${name}`, known);
    return known;
  };

  const prepareCounter = async (account: LoadAccount, group: string): Promise<void> => {
    const item = counterOf(account.name, group);
    await waitFor(
      `counter of ${account.name} in ${group}`,
      async () => {
        const outcome = await callerOf(pick(balancedVms), account).execute({
          profile,
          group,
          accessMode: AccessMode.WRITE,
          sql: UPSERT,
          parameters: [{ text: item }, { text: '0' }],
          requestId: randomUUID(),
          timeoutMs: TIMEOUT_MS,
        });
        return outcome.verdict === Verdict.RAN;
      },
      PREPARE_TIMEOUT_MS,
    );
  };

  const planRead = (session: LoadSession): Plan => ({
    kind: 'read',
    group: session.group,
    item: session.item,
    sql: SELECT,
    parameters: [session.item],
    session,
    value: session.acknowledged(),
  });

  const planWrite = (account: string, session: LoadSession): Plan => {
    const { group } = session;
    const kind = pick(['session', 'once', 'count'] as const);
    if (kind === 'once') {
      const item = `o-${randomUUID()}`;
      return { kind, group, item, sql: UPSERT, parameters: [item, '1'], session, value: 1 };
    }
    if (kind === 'count') {
      const item = counterOf(account, group);
      return { kind, group, item, sql: ADD, parameters: ['1', item], session, value: 1 };
    }
    const value = session.beginWrite();
    if (value === undefined) return planRead(session);
    const { item } = session;
    return { kind, group, item, sql: UPSERT, parameters: [item, String(value)], session, value };
  };

  const send = async (account: LoadAccount): Promise<void> => {
    const session = pick(sessions.get(account.name) ?? []);
    const isRead = Math.random() < readRatio;
    const plan = isRead ? planRead(session) : planWrite(account.name, session);
    const vm = pick(balancedVms);
    const sentAtMs = performance.now();
    const outcome: Outcome | undefined = await callerOf(vm, account)
      .execute({
        profile,
        group: plan.group,
        accessMode: plan.kind === 'read' ? AccessMode.READ : AccessMode.WRITE,
        sql: plan.sql,
        parameters: plan.parameters.map((text) => ({ text })),
        sessionToken: plan.session.token(),
        requestId: randomUUID(),
        timeoutMs: TIMEOUT_MS,
      })
      .catch(() => undefined);
    const isRan = outcome?.verdict === Verdict.RAN;
    if (plan.kind === 'session')
      plan.session.endWrite(plan.value, isRan, outcome?.sessionToken ?? '');
    const seen = Number(outcome?.rows?.rows[0]?.cells[0]?.text ?? 0);
    records.push({
      atMs: sentAtMs - startedAtMs,
      latencyMs: performance.now() - sentAtMs,
      account: account.name,
      vm,
      group: plan.group,
      kind: plan.kind,
      item: plan.item,
      verdict: outcome ? (VERDICTS[outcome.verdict] ?? 'mayHaveRun') : 'noAnswer',
      code: outcome?.refusal?.code ?? '',
      servedByRole: outcome?.servedBy?.role ?? '',
      isStale: plan.kind === 'read' && isRan && seen < plan.value,
    });
  };

  const sendDue = (): void => {
    accounts.forEach((account) => {
      const elapsedS = (performance.now() - startedAtMs) / MS_PER_S;
      const goal = elapsedS * account.sentPerS;
      let sent = due.get(account.name) ?? 0;
      while (sent < goal) {
        sent += 1;
        const request = send(account);
        pending.add(request);
        request.finally(() => pending.delete(request));
      }
      due.set(account.name, sent);
    });
  };

  return {
    /** Writes the counters that the load adds to, within the accounts' rates. */
    prepare: async (): Promise<void> => {
      await Promise.all(
        accounts.flatMap((account) => groups.map((group) => prepareCounter(account, group))),
      );
    },
    start: (): void => {
      startedAtMs = performance.now();
      timer = setInterval(sendDue, TICK_MS);
    },
    elapsedMs: () => performance.now() - startedAtMs,
    /** Sets the VMs to which the balancer sends. */
    balanceOver: (vms: string[]): void => {
      balancedVms = vms;
    },
    /** Opens new connections to a VM that was started again. */
    reconnect: (vm: string): void => {
      [...callers.keys()]
        .filter((name) => name.startsWith(`${vm}/`))
        .forEach((name) => {
          callers.get(name)?.close();
          callers.delete(name);
        });
    },
    /** Stops sending and waits for what is under way. */
    stop: async (): Promise<LoadRecord[]> => {
      clearInterval(timer);
      await Promise.all(pending);
      callers.forEach((caller) => caller.close());
      return records;
    },
  };
};

export default createLoad;
