import { createMemoryBudget, mayConnect } from '@auburngrade/coordination';
import type EventLog from '../seams/eventLog';
import type CallerLimits from './callerLimits';
import type LimitReason from './limitReason';

/** Keeps the bounds of one process on its callers, and counts what it refuses. */
const createCallerGuard = (limits: CallerLimits, log: EventLog) => {
  const memory = createMemoryBudget(limits.memoryBytes);
  const refusals = new Map<LimitReason, number>();
  /** Open connections by address, and sessions by account; both hold their own kind of party. */
  const connectionsByAddress = new Map<string, number>();
  const sessionsByAccount = new Map<string, number>();
  let connectionCount = 0;

  const add = (parties: Map<string, number>, name: string, count: number): void => {
    const sum = (parties.get(name) ?? 0) + count;
    if (sum > 0) parties.set(name, sum);
    else parties.delete(name);
  };
  /** @param others Connections besides the one that is decided on. */
  const decide = (parties: ReadonlyMap<string, number>, name: string, others: number) => {
    const ownCount = parties.get(name) ?? 0;
    return mayConnect({
      maxConnections: limits.maxConnections,
      count: others,
      ownCount,
      partyCount: parties.size + Number(ownCount === 0),
    });
  };
  /** The log itself bounds the lines of one event. */
  const note = (reason: LimitReason, party: string, heldBytes = 0): void => {
    refusals.set(reason, (refusals.get(reason) ?? 0) + 1);
    log.warn('caller.limited', {
      reason,
      party,
      heldBytes,
      usedBytes: memory.usedBytes(),
      connections: connectionCount,
    });
  };

  return {
    limits,
    memory,
    note,
    connectionCount: (): number => connectionCount,
    /** Number of refusals and closed connections by reason. */
    refusals: (): ReadonlyMap<LimitReason, number> => refusals,
    /** Takes up a connection from the address, or returns the reason why it is refused. */
    connect: (address: string): 'connections' | 'connectionShare' | undefined => {
      const decision = decide(connectionsByAddress, address, connectionCount);
      if (decision !== 'yes') {
        const reason = decision === 'full' ? 'connections' : 'connectionShare';
        note(reason, address);
        return reason;
      }
      add(connectionsByAddress, address, 1);
      connectionCount += 1;
      return undefined;
    },
    disconnect: (address: string): void => {
      add(connectionsByAddress, address, -1);
      connectionCount -= 1;
    },
    /** Takes up a session of the account on a connection; false if the account has its share already. */
    startSession: (account: string): boolean => {
      if (decide(sessionsByAccount, account, connectionCount - 1) === 'overShare') {
        note('connectionShare', account);
        return false;
      }
      add(sessionsByAccount, account, 1);
      return true;
    },
    endSession: (account: string): void => add(sessionsByAccount, account, -1),
  };
};

export default createCallerGuard;
