interface QueueLimits {
  entries: number;
  bytes: number;
}

interface Holding<Item> {
  bytes: number;
  count: number;
  /** In order of arrival; may contain items that have left. */
  items: Item[];
}

/** Items that have left are removed from a list of arrivals once they are most of it. */
const MIN_COMPACTED_ITEMS = 32;

/**
 * Bounds a queue in entries and bytes. Beyond a bound, the newest items of the account that holds most
 * of the entries, or of the bytes, are found to be refused.
 *
 * Load pattern: one account that sends several times its rate, or many long statements, while nothing
 * can start and no forecast is known. The other accounts keep their places.
 */
const createQueueBound = <Item>(limits: QueueLimits) => {
  const holdings = new Map<string, Holding<Item>>();
  const held = new Map<Item, { account: string; bytes: number }>();
  let totalBytes = 0;

  const remove = (item: Item): void => {
    const entry = held.get(item);
    const holding = entry && holdings.get(entry.account);
    if (!holding) return;
    held.delete(item);
    totalBytes -= entry.bytes;
    holding.bytes -= entry.bytes;
    holding.count -= 1;
    if (holding.count === 0) holdings.delete(entry.account);
    else if (holding.items.length > Math.max(MIN_COMPACTED_ITEMS, 2 * holding.count))
      holding.items = holding.items.filter((other) => held.has(other));
  };

  const takeNewestOfLargest = (measure: 'count' | 'bytes'): Item | undefined => {
    let largest: Holding<Item> | undefined;
    holdings.forEach((holding) => {
      if (!largest || holding[measure] > largest[measure]) largest = holding;
    });
    while (largest && largest.items.length > 0) {
      const newest = largest.items.pop() as Item;
      if (held.has(newest)) {
        remove(newest);
        return newest;
      }
    }
    return undefined;
  };

  return {
    add: (item: Item, account: string, bytes: number): void => {
      const holding = holdings.get(account) ?? { bytes: 0, count: 0, items: [] };
      holdings.set(account, holding);
      holding.items.push(item);
      holding.count += 1;
      holding.bytes += bytes;
      totalBytes += bytes;
      held.set(item, { account, bytes });
    },
    remove,
    /** Removes and returns what is beyond the bounds. */
    takeExcess: (): Item[] => {
      const excess: Item[] = [];
      while (held.size > limits.entries || totalBytes > limits.bytes) {
        const item = takeNewestOfLargest(held.size > limits.entries ? 'count' : 'bytes');
        if (item === undefined) break;
        excess.push(item);
      }
      return excess;
    },
  };
};

export default createQueueBound;
