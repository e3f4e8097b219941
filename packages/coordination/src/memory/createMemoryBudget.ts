import chooseReclaimed from './chooseReclaimed';
import mayForward from './mayForward';
import type MemoryHolder from './memoryHolder';
import type MemoryUse from './memoryUse';

/** Above this part of the budget, no caller's bytes are read ahead. */
const SHORT_RATIO = 0.75;

interface Holder extends MemoryHolder {
  reclaim(): void;
}

/** Accounts for the memory that callers make this process hold. Closes the largest holders when it runs short. */
const createMemoryBudget = (budgetBytes: number) => {
  const holders = new Set<Holder>();
  const bytesByUse: Record<MemoryUse, number> = {
    input: 0,
    statements: 0,
    answers: 0,
    state: 0,
    forwarded: 0,
  };
  const forwardedByAccount = new Map<string, number>();
  let usedBytes = 0;
  let lastSince = 0;
  let isReclaiming = false;

  const reclaim = (): void => {
    if (usedBytes <= budgetBytes || isReclaiming) return;
    isReclaiming = true;
    // Calls of other VMs are not reclaimed: they are refused when they come.
    const connectionBudgetBytes = Math.max(0, budgetBytes - bytesByUse.forwarded);
    chooseReclaimed({ budgetBytes: connectionBudgetBytes, holders: [...holders] }).forEach(
      (holder) => holder.reclaim(),
    );
    isReclaiming = false;
  };

  /** Holds what cannot be refused any more, such as a result, until the returned function is called. */
  const holdForwarded = (account: string, heldBytes: number): (() => void) => {
    const add = (bytes: number): void => {
      const sum = (forwardedByAccount.get(account) ?? 0) + bytes;
      if (sum > 0) forwardedByAccount.set(account, sum);
      else forwardedByAccount.delete(account);
      bytesByUse.forwarded += bytes;
      usedBytes += bytes;
    };
    add(heldBytes);
    reclaim();
    return () => add(-heldBytes);
  };

  return {
    budgetBytes,
    usedBytes: (): number => usedBytes,
    bytesByUse: (): Readonly<Record<MemoryUse, number>> => bytesByUse,
    isShort: (): boolean => usedBytes > SHORT_RATIO * budgetBytes,
    /** Once `onReclaim` is called, the holder is released; its connection must be closed soon. */
    open: (account: string, onReclaim: (heldBytes: number) => void) => {
      const holder: Holder = { account, heldBytes: 0, since: 0, reclaim: () => undefined };
      const own = { input: 0, statements: 0, answers: 0, state: 0 };
      holders.add(holder);
      const set = (use: keyof typeof own, bytes: number): void => {
        const addedBytes = bytes - own[use];
        if (addedBytes === 0 || !holders.has(holder)) return;
        if (holder.heldBytes === 0) {
          lastSince += 1;
          holder.since = lastSince;
        }
        own[use] = bytes;
        holder.heldBytes += addedBytes;
        bytesByUse[use] += addedBytes;
        usedBytes += addedBytes;
        if (addedBytes > 0) reclaim();
      };
      const release = (): void => {
        set('input', 0);
        set('statements', 0);
        set('answers', 0);
        set('state', 0);
        holders.delete(holder);
      };
      holder.reclaim = () => {
        const { heldBytes } = holder;
        release();
        onReclaim(heldBytes);
      };
      return {
        set,
        release,
        setAccount: (name: string): void => {
          holder.account = name;
        },
      };
    },
    /** Holds a call of another VM until the returned function is called; undefined if it must be refused. */
    forward: (account: string, callBytes: number): (() => void) | undefined => {
      const accountBytes = forwardedByAccount.get(account) ?? 0;
      const accountCount = forwardedByAccount.size;
      const input = { budgetBytes, usedBytes, accountBytes, accountCount, callBytes };
      return mayForward(input) ? holdForwarded(account, callBytes) : undefined;
    },
    holdForwarded,
  };
};

export default createMemoryBudget;
