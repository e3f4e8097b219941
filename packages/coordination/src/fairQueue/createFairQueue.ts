import type FairQueueLimits from './fairQueueLimits';
import type QueueRefusal from './queueRefusal';

interface Flow<Item> {
  account: string;
  weight: number;
  /** Virtual time at which the service given to the account so far ends. */
  finishMs: number;
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

const INITIAL_COST_MS = 5;
const MIN_COST_MS = 0.05;
const COST_AVERAGE_RATIO = 0.1;

/**
 * Start-time fair queueing over client accounts. The cost of a request is the time for
 * which it kept a server: an average when it starts, corrected when it ends. Virtual time is
 * the service that an account of weight 1 with requests always queued would have had; what an
 * account used is forgotten once the others have had as much, also while it has none queued.
 */
const createFairQueue = <Item>(limits: FairQueueLimits, servers: number) => {
  const flows = new Map<string, Flow<Item>>();
  /** Accounts with queued requests; of two that are due at the same time the first is served. */
  const queued = new Set<Flow<Item>>();
  let virtualMs = 0;
  let size = 0;

  const flowOf = (account: string): Flow<Item> => {
    const known = flows.get(account);
    if (known) return known;
    const created = { account, weight: 1, finishMs: 0, costMs: INITIAL_COST_MS, items: [] };
    flows.set(account, created);
    return created;
  };

  const workMs = (): number => {
    let sumMs = 0;
    queued.forEach(({ items, costMs }) => {
      sumMs += items.length * costMs;
    });
    return sumMs;
  };

  /** Service time that an account had ahead of the others. */
  const aheadMs = ({ finishMs, weight }: Flow<Item>): number =>
    Math.max(0, finishMs - virtualMs) * weight;

  /** The wait that one more request of the account would have. */
  const expectedWaitMs = (flow: Flow<Item>): number => {
    let weights = flow.weight;
    queued.forEach((other) => {
      if (other !== flow) weights += other.weight;
    });
    const ownMs = flow.items.length * flow.costMs + aheadMs(flow);
    const byTurnsMs = (ownMs * weights) / flow.weight;
    return Math.min(byTurnsMs, workMs() + aheadMs(flow)) / servers;
  };

  const refusalOf = (flow: Flow<Item>, remainingMs: number): QueueRefusal | undefined => {
    const waitMs = expectedWaitMs(flow);
    if (flow.items.length >= limits.perAccount || size >= limits.total) {
      return { code: 'queueFull', retryAfterMs: Math.ceil(flow.costMs + waitMs) };
    }
    if (waitMs <= remainingMs) return undefined;
    return { code: 'queueTimeout', retryAfterMs: Math.ceil(waitMs - remainingMs) };
  };

  /** The account whose next request is due first. */
  const firstDue = (): Flow<Item> | undefined => {
    let first: Flow<Item> | undefined;
    queued.forEach((flow) => {
      if (!first || flow.finishMs < first.finishMs) first = flow;
    });
    return first;
  };

  const charge = (flow: Flow<Item>, costMs: number): void => {
    Object.assign(flow, { finishMs: flow.finishMs + costMs / flow.weight });
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
      if (flow.items.length === 0) flow.finishMs = Math.max(flow.finishMs, virtualMs);
      flow.items.push(item);
      queued.add(flow);
      size += 1;
      return undefined;
    },
    /** The request whose turn it is; `end` must be called with its charge when it has ended. */
    next: (): Turn<Item> | undefined => {
      const flow = firstDue();
      const item = flow?.items.shift();
      if (!flow || item === undefined) return undefined;
      size -= 1;
      virtualMs = Math.max(virtualMs, flow.finishMs);
      const chargedMs = flow.costMs;
      charge(flow, chargedMs);
      queued.delete(flow);
      if (flow.items.length > 0) queued.add(flow);
      return { item, account: flow.account, chargedMs };
    },
    /** Corrects the charge of a request that kept a server for `costMs`. */
    end: (account: string, chargedMs: number, costMs: number): void => {
      const flow = flowOf(account);
      charge(flow, costMs - chargedMs);
      const averageMs = flow.costMs + (costMs - flow.costMs) * COST_AVERAGE_RATIO;
      flow.costMs = Math.max(MIN_COST_MS, averageMs);
    },
    /** Takes back the charge of a request that got its turn and used no server. */
    cancel: (account: string, chargedMs: number): void => charge(flowOf(account), -chargedMs),
    /** The average service time of the account's requests. */
    costMs: (account: string): number => flowOf(account).costMs,
    /** Removes a queued request that is no longer wanted. */
    remove: (item: Item, account: string): void => {
      const flow = flowOf(account);
      const at = flow.items.indexOf(item);
      if (at < 0) return;
      flow.items.splice(at, 1);
      size -= 1;
      if (flow.items.length === 0) queued.delete(flow);
    },
  };
};

export default createFairQueue;
