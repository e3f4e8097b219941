import type FairQueueLimits from './fairQueueLimits';
import type QueueRefusal from './queueRefusal';

interface Flow<Item> {
  account: string;
  weight: number;
  /** Virtual time at which the service charged to the account so far ends. */
  finishMs: number;
  /** Average service time of the account's requests. */
  costMs: number;
  items: Item[];
}

interface Dispatch<Item> {
  item: Item;
  account: string;
  /** Service time charged to the account in advance. */
  chargedMs: number;
}

const INITIAL_COST_MS = 5;
const MIN_COST_MS = 0.05;
const COST_SAMPLE_WEIGHT = 0.1;

/**
 * Start-time fair queueing over client accounts. The cost of a request is the time for which it
 * occupies a server: the account's average when it starts, corrected when it ends. Virtual time is
 * the service that an always backlogged account of weight 1 would have received. Past service no
 * longer counts once the other accounts have received as much, even if none is queued meanwhile.
 */
const createFairQueue = <Item>(limits: FairQueueLimits, servers: number) => {
  const flows = new Map<string, Flow<Item>>();
  /** Accounts with queued requests; on equal finish times the first one is served. */
  const queued = new Set<Flow<Item>>();
  let virtualTimeMs = 0;
  let size = 0;

  const flowOf = (account: string): Flow<Item> => {
    const existing = flows.get(account);
    if (existing) return existing;
    const created = { account, weight: 1, finishMs: 0, costMs: INITIAL_COST_MS, items: [] };
    flows.set(account, created);
    return created;
  };

  const backlogMs = (): number => {
    let sumMs = 0;
    queued.forEach(({ items, costMs }) => {
      sumMs += items.length * costMs;
    });
    return sumMs;
  };

  /** Service time that an account has received beyond its fair share. */
  const serviceLeadMs = ({ finishMs, weight }: Flow<Item>): number =>
    Math.max(0, finishMs - virtualTimeMs) * weight;

  /** Expected wait of one more request of the account. */
  const expectedWaitMs = (flow: Flow<Item>): number => {
    let totalWeight = flow.weight;
    queued.forEach((other) => {
      if (other !== flow) totalWeight += other.weight;
    });
    const ownWorkMs = flow.items.length * flow.costMs + serviceLeadMs(flow);
    const fairWaitMs = (ownWorkMs * totalWeight) / flow.weight;
    return Math.min(fairWaitMs, backlogMs() + serviceLeadMs(flow)) / servers;
  };

  const refusalFor = (flow: Flow<Item>, remainingMs: number): QueueRefusal | undefined => {
    const waitMs = expectedWaitMs(flow);
    if (flow.items.length >= limits.perAccount || size >= limits.total) {
      return { code: 'queueFull', retryAfterMs: Math.ceil(flow.costMs + waitMs) };
    }
    if (waitMs <= remainingMs) return undefined;
    return { code: 'queueTimeout', retryAfterMs: Math.ceil(waitMs - remainingMs) };
  };

  /** The account with the earliest finish time, which is served next. */
  const nextFlow = (): Flow<Item> | undefined => {
    let first: Flow<Item> | undefined;
    queued.forEach((flow) => {
      if (!first || flow.finishMs < first.finishMs) first = flow;
    });
    return first;
  };

  const chargeFlow = (flow: Flow<Item>, costMs: number): void => {
    Object.assign(flow, { finishMs: flow.finishMs + costMs / flow.weight });
  };

  return {
    size: () => size,
    sizeOf: (account: string) => flows.get(account)?.items.length ?? 0,
    /** Queues a request, or returns the refusal if it exceeds a limit or would wait too long. */
    enqueue: (
      item: Item,
      account: string,
      weight: number,
      remainingMs: number,
    ): QueueRefusal | undefined => {
      const flow = flowOf(account);
      flow.weight = weight;
      const refusal = refusalFor(flow, remainingMs);
      if (refusal) return refusal;
      if (flow.items.length === 0) flow.finishMs = Math.max(flow.finishMs, virtualTimeMs);
      flow.items.push(item);
      queued.add(flow);
      size += 1;
      return undefined;
    },
    /** Dequeues a request; the caller passes its `chargedMs` to `end` or `cancel` afterwards. */
    dequeue: (): Dispatch<Item> | undefined => {
      const flow = nextFlow();
      const item = flow?.items.shift();
      if (!flow || item === undefined) return undefined;
      size -= 1;
      virtualTimeMs = Math.max(virtualTimeMs, flow.finishMs);
      const chargedMs = flow.costMs;
      chargeFlow(flow, chargedMs);
      queued.delete(flow);
      if (flow.items.length > 0) queued.add(flow);
      return { item, account: flow.account, chargedMs };
    },
    /** Corrects the charge of a completed request that occupied a server for `costMs`. */
    end: (account: string, chargedMs: number, costMs: number): void => {
      const flow = flowOf(account);
      chargeFlow(flow, costMs - chargedMs);
      const averageMs = flow.costMs + (costMs - flow.costMs) * COST_SAMPLE_WEIGHT;
      flow.costMs = Math.max(MIN_COST_MS, averageMs);
    },
    /** Refunds the charge of a dequeued request that did not use a server. */
    cancel: (account: string, chargedMs: number): void => chargeFlow(flowOf(account), -chargedMs),
    /** Average service time of the account's requests. */
    costMs: (account: string): number => flowOf(account).costMs,
    /** Removes a cancelled request from the queue. */
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
