import type FairQueueLimits from './fairQueueLimits';
import type QueueRefusal from './queueRefusal';

interface Flow<Item> {
  account: string;
  weight: number;
  /** Service time that the account may still use in this round; negative after long requests. */
  deficitMs: number;
  /** Average service time of the account's requests. */
  costMs: number;
  items: Item[];
}

interface Turn<Item> {
  item: Item;
  account: string;
  /** Service time that the account was charged for in advance. */
  chargedMs: number;
}

/** Service time that an account of weight 1 gets in a round. */
const QUANTUM_MS = 5;
const INITIAL_COST_MS = 5;
const MIN_COST_MS = 0.05;
const COST_AVERAGE_RATIO = 0.1;

/**
 * Deficit round robin over client accounts. The cost of a request is the time for
 * which it kept a server: an average when it starts, corrected when it ends.
 */
const createFairQueue = <Item>(limits: FairQueueLimits, servers: number) => {
  const flows = new Map<string, Flow<Item>>();
  /** Accounts with queued requests in the order of their turns. */
  const turns: Flow<Item>[] = [];
  let size = 0;

  const flowOf = (account: string): Flow<Item> => {
    const known = flows.get(account);
    if (known) return known;
    const created = { account, weight: 1, deficitMs: 0, costMs: INITIAL_COST_MS, items: [] };
    flows.set(account, created);
    return created;
  };

  const workMs = (): number =>
    turns.reduce((sum, { items, costMs }) => sum + items.length * costMs, 0);

  /** The wait that one more request of the account would have. */
  const expectedWaitMs = (flow: Flow<Item>): number => {
    const others = turns.filter((other) => other !== flow);
    const weights = others.reduce((sum, { weight }) => sum + weight, flow.weight);
    const ownMs = flow.items.length * flow.costMs + Math.max(0, -flow.deficitMs);
    const byTurnsMs = (ownMs * weights) / flow.weight;
    return Math.min(byTurnsMs, workMs() + Math.max(0, -flow.deficitMs)) / servers;
  };

  const refusalOf = (flow: Flow<Item>, remainingMs: number): QueueRefusal | undefined => {
    const waitMs = expectedWaitMs(flow);
    if (flow.items.length >= limits.perAccount || size >= limits.total) {
      return { code: 'queueFull', retryAfterMs: Math.ceil(flow.costMs + waitMs) };
    }
    if (waitMs <= remainingMs) return undefined;
    return { code: 'queueTimeout', retryAfterMs: Math.ceil(waitMs - remainingMs) };
  };

  const leave = (flow: Flow<Item>): void => {
    const at = turns.indexOf(flow);
    if (at >= 0) turns.splice(at, 1);
    // Unused service time is not kept; used service time is.
    Object.assign(flow, { deficitMs: Math.min(0, flow.deficitMs) });
  };

  /** Starts as many rounds as the next account that can be served needs. */
  const startRounds = (): void => {
    const rounds = Math.min(
      ...turns.map(({ deficitMs, weight }) => Math.floor(-deficitMs / (QUANTUM_MS * weight)) + 1),
    );
    turns.forEach((flow) => {
      Object.assign(flow, { deficitMs: flow.deficitMs + rounds * QUANTUM_MS * flow.weight });
    });
  };

  return {
    size: () => size,
    sizeOf: (account: string) => flows.get(account)?.items.length ?? 0,
    /** Queues a request, or tells why its expected wait does not fit. */
    offer: (
      item: Item,
      account: string,
      weight: number,
      remainingMs: number,
    ): QueueRefusal | undefined => {
      const flow = flowOf(account);
      flow.weight = weight;
      const refusal = refusalOf(flow, remainingMs);
      if (refusal) return refusal;
      flow.items.push(item);
      size += 1;
      if (flow.items.length === 1) turns.push(flow);
      return undefined;
    },
    /** The request whose turn it is; `end` must be called with its charge when it has ended. */
    next: (): Turn<Item> | undefined => {
      if (turns.length === 0) return undefined;
      if (turns.every(({ deficitMs }) => deficitMs <= 0)) startRounds();
      const flow = turns.find(({ deficitMs }) => deficitMs > 0);
      const item = flow?.items.shift();
      if (!flow || item === undefined) return undefined;
      size -= 1;
      const chargedMs = flow.costMs;
      flow.deficitMs -= chargedMs;
      if (flow.items.length === 0) leave(flow);
      else if (flow.deficitMs <= 0) turns.push(...turns.splice(turns.indexOf(flow), 1));
      return { item, account: flow.account, chargedMs };
    },
    /** Corrects the charge of a request that kept a server for `costMs`. */
    end: (account: string, chargedMs: number, costMs: number): void => {
      const flow = flowOf(account);
      flow.deficitMs -= costMs - chargedMs;
      const averageMs = flow.costMs + (costMs - flow.costMs) * COST_AVERAGE_RATIO;
      flow.costMs = Math.max(MIN_COST_MS, averageMs);
      if (flow.items.length === 0) flow.deficitMs = Math.min(0, flow.deficitMs);
    },
    /** The average service time of the account's requests. */
    costMs: (account: string): number => flowOf(account).costMs,
    /** Removes a queued request that is no longer wanted. */
    remove: (item: Item, account: string): void => {
      const flow = flowOf(account);
      const at = flow.items.indexOf(item);
      if (at < 0) return;
      flow.items.splice(at, 1);
      size -= 1;
      if (flow.items.length === 0) leave(flow);
    },
  };
};

export default createFairQueue;
