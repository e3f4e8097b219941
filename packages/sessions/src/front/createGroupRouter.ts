import {
  Action,
  type CallResult,
  type GroupCall,
} from '../generated/auburngrade/session/v1/session';
import type CallOutcome from '../group/callOutcome';
import refused from '../group/refused';
import LinkError from '../link/linkError';
import type PeerLink from '../link/peerLink';
import type EventLog from '../seams/eventLog';
import type RefusalCode from '../seams/refusalCode';
import type StatementResult from '../seams/statementResult';
import type SessionCall from './sessionCall';

/** How long a statement waits for a group that has no reachable owner: a change of owner takes 1 s. */
const OWNER_WAIT_MS = 900;
const OWNER_POLL_MS = 25;
/** A group that nobody served for this long has no owner that this VM can reach. */
const UNSERVED_AFTER_MS = 2_500;
/** A call is given up this long after the owner must have answered. */
const ANSWER_RESERVE_MS = 300;

interface GroupRouterOptions {
  self: string;
  log: EventLog;
  nowMs(): number;
  ownerOf(group: string): string | undefined;
  link(vm: string): PeerLink | undefined;
  runHere(call: GroupCall, values: ReadonlyMap<string, string>): Promise<CallOutcome> | undefined;
  endTransactionHere(group: string, transaction: number): void;
  /** Whether this VM has been unable to serve any group for so long that waiting is in vain. */
  isCutOff(): boolean;
}

const toOutcome = (result: CallResult): CallOutcome => {
  if (result.isNotOwner) return { kind: 'notOwner' };
  const { rows, signature, message, position } = result;
  return result.refusalCode === ''
    ? { kind: 'complete', rows, signature, position }
    : { kind: 'refused', code: result.refusalCode as RefusalCode, message, position };
};

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Takes statements to the VM that owns their group, and finds the new owner when it changes. */
const createGroupRouter = (options: GroupRouterOptions) => {
  const { self, log, nowMs } = options;
  /** Since when nobody that can be reached serves a group. */
  const unservedSinceMs = new Map<string, number>();
  /** The VM that runs a transaction, and its group. */
  const homes = new Map<number, { vm: string; group: string }>();

  const callAt = async (
    vm: string,
    call: GroupCall,
    values: ReadonlyMap<string, string>,
  ): Promise<CallOutcome> => {
    if (vm === self) return (await options.runHere(call, values)) ?? { kind: 'notOwner' };
    const link = options.link(vm);
    if (!link?.isUp()) return { kind: 'notOwner' };
    const limitMs = call.statementTimeoutMs * 2 + ANSWER_RESERVE_MS;
    let timer: NodeJS.Timeout | undefined;
    const late = new Promise<never>((_resolve, reject) => {
      timer = setTimeout(() => reject(new LinkError(true, `no answer from ${vm}`)), limitMs);
    });
    try {
      return toOutcome(await Promise.race([link.call(call, values), late]));
    } finally {
      clearTimeout(timer);
    }
  };

  const onLinkError = (call: GroupCall, error: LinkError): StatementResult | undefined => {
    if (!error.isSent) return undefined;
    if (call.action === Action.ACTION_READ && call.transaction === 0) return undefined;
    if (call.transaction !== 0 && call.action !== Action.ACTION_COMMIT) {
      return refused('aborted', error.message);
    }
    return refused(call.action === Action.ACTION_READ ? 'failed' : 'inDoubt', error.message);
  };

  const run = async (
    call: SessionCall,
    values: ReadonlyMap<string, string>,
  ): Promise<StatementResult> => {
    const startedAtMs = nowMs();
    const isNext = call.transaction !== 0 && !call.opensTransaction;
    if (!isNext && options.isCutOff()) {
      log.info('request.cutOff', { request: call.requestId, group: call.group });
      return refused('busy', 'this VM can reach no group now, retry in 1000 ms');
    }
    let owner: string | undefined;
    do {
      const waitedMs = Math.round(nowMs() - startedAtMs);
      const groupCall: GroupCall = { ...call, call: 0, hasValues: false, values: [], waitedMs };
      owner = isNext ? homes.get(call.transaction)?.vm : options.ownerOf(call.group);
      if (isNext && owner === undefined) return refused('aborted', 'the transaction was ended');
      if (owner !== undefined) {
        if (call.opensTransaction) homes.set(call.transaction, { vm: owner, group: call.group });
        try {
          const outcome = await callAt(owner, groupCall, values);
          if (outcome.kind !== 'notOwner') {
            unservedSinceMs.delete(call.group);
            return outcome;
          }
        } catch (error) {
          if (!(error instanceof LinkError)) throw error;
          const result = onLinkError(groupCall, error);
          log.info('request.linkLost', { request: call.requestId, owner, reason: error.message });
          if (result) return result;
        }
        if (isNext) return refused('aborted', 'the VM that ran the transaction is gone');
      }
      const sinceMs = unservedSinceMs.get(call.group) ?? nowMs();
      unservedSinceMs.set(call.group, sinceMs);
      // A change of owner would be over by now: waiting would only delay the refusal.
      if (nowMs() - sinceMs > UNSERVED_AFTER_MS) break;
      await sleep(OWNER_POLL_MS);
    } while (nowMs() - startedAtMs < OWNER_WAIT_MS);
    log.info('request.noOwner', {
      request: call.requestId,
      group: call.group,
      owner,
      waitedMs: Math.round(nowMs() - startedAtMs),
    });
    return refused('busy', 'no VM serves the group now, retry in 500 ms');
  };

  return {
    run,
    /** Nothing of the transaction is kept. */
    endTransaction: (transaction: number): void => {
      const home = homes.get(transaction);
      if (!home) return;
      homes.delete(transaction);
      if (home.vm === self) options.endTransactionHere(home.group, transaction);
      else options.link(home.vm)?.endTransaction(transaction);
    },
    /** The transaction has ended by itself. */
    forget: (transaction: number): void => {
      homes.delete(transaction);
    },
  };
};

export default createGroupRouter;
