import { spreadRetryDelay } from '@auburngrade/coordination';
import {
  Action,
  type CallResult,
  type GroupCall,
} from '../generated/auburngrade/session/v1/session';
import type CallOutcome from '../group/callOutcome';
import createRefusal from '../group/createRefusal';
import LinkError from '../link/linkError';
import type PeerLink from '../link/peerLink';
import type EventLog from '../seams/eventLog';
import type RefusalCode from '../seams/refusalCode';
import type StatementResult from '../seams/statementResult';
import createHeldRun from './createHeldRun';
import type SessionCall from './sessionCall';
import sleep from '../time/sleep';

/** How long a statement waits while no reachable VM serves its group: a change of owner takes 1 s. */
const OWNER_WAIT_MS = 900;
const OWNER_POLL_MS = 25;
/** A group that was not served for this long has no reachable owner; statements are refused at once. */
const UNSERVED_AFTER_MS = 2_500;
/** When callers are asked to return while no VM serves the group, before the spread. */
const NO_OWNER_RETRY_MS = 500;
/** The same while this VM reaches no group. */
const CUT_OFF_RETRY_MS = 1_000;
/** A call times out this long after the other VM must have answered, at twice the statement's time limit. */
const ANSWER_MARGIN_MS = 300;

interface GroupRouterOptions {
  self: string;
  log: EventLog;
  nowMs(): number;
  /** Random number in [0, 1), which spreads the return of refused callers. */
  random(): number;
  findServingVm(group: string): string | undefined;
  link(vm: string): PeerLink | undefined;
  runLocally(
    call: GroupCall,
    values: ReadonlyMap<string, string>,
  ): Promise<CallOutcome> | undefined;
  endLocalTransaction(group: string, transaction: number): void;
  /** Whether this VM has been unable to reach any group for so long that waiting is pointless. */
  hasNoReachableGroup(): boolean;
  /** Takes up memory for a statement until the returned function is called; undefined without room. */
  holdCall(account: string, byteCount: number): (() => void) | undefined;
  /** The same for what is always held. */
  holdResult(account: string, byteCount: number): () => void;
  /** Whether this VM is about to end, so that a statement that did not run yet does not run any more. */
  isStopping(): boolean;
}

const toOutcome = (result: CallResult): CallOutcome => {
  if (result.isNotOwner) return { kind: 'notOwner' };
  const { rows, signature, message, position } = result;
  return result.refusalCode === ''
    ? { kind: 'complete', rows, signature, position }
    : { kind: 'refused', code: result.refusalCode as RefusalCode, message, position };
};

/** Sends the statements of sessions to the VM that serves their group, and follows changes of that VM. */
const createGroupRouter = (options: GroupRouterOptions) => {
  const { self, log, nowMs, random } = options;
  /** Since when each group has had no reachable VM that serves it. */
  const unservedSinceMs = new Map<string, number>();
  /** The VM and the group of each open transaction. */
  const openTransactions = new Map<number, { vm: string; group: string }>();

  /** Refuses a statement that did not run; its caller's next one has a time limit of its own. */
  const refuseAsBusy = (reason: string, dueInMs: number): StatementResult => {
    const retryInMs = spreadRetryDelay({ dueInMs, maxDelayMs: Number.POSITIVE_INFINITY }, random);
    return createRefusal('busy', `${reason}; retry in ${retryInMs} ms`);
  };

  const callVm = async (
    vm: string,
    call: GroupCall,
    values: ReadonlyMap<string, string>,
  ): Promise<CallOutcome> => {
    if (vm === self) return (await options.runLocally(call, values)) ?? { kind: 'notOwner' };
    const link = options.link(vm);
    if (!link?.isUp()) return { kind: 'notOwner' };
    const timeoutMs = call.statementTimeoutMs * 2 + ANSWER_MARGIN_MS;
    let timer: NodeJS.Timeout | undefined;
    const timeout = new Promise<never>((_resolve, reject) => {
      timer = setTimeout(
        () => reject(new LinkError(true, `no answer in time from VM ${vm}`)),
        timeoutMs,
      );
    });
    try {
      return toOutcome(await Promise.race([link.call(call, values), timeout]));
    } finally {
      clearTimeout(timer);
    }
  };

  const toLinkErrorResult = (call: GroupCall, error: LinkError): StatementResult | undefined => {
    if (!error.isSent) return undefined;
    if (call.action === Action.ACTION_READ && call.transaction === 0) return undefined;
    if (call.transaction !== 0 && call.action !== Action.ACTION_COMMIT) {
      return createRefusal('aborted', error.message);
    }
    return createRefusal(call.action === Action.ACTION_READ ? 'failed' : 'inDoubt', error.message);
  };

  /** Whether a statement that did not run may still run, at another owner also after the wait for one. */
  const mayTryAgain = (
    { group, statementTimeoutMs }: SessionCall,
    elapsedMs: number,
    askedVm: string | undefined,
  ): boolean => {
    if (elapsedMs < OWNER_WAIT_MS) return true;
    const nextVm = options.findServingVm(group);
    return elapsedMs < statementTimeoutMs && nextVm !== undefined && nextVm !== askedVm;
  };

  const run = async (
    call: SessionCall,
    values: ReadonlyMap<string, string>,
  ): Promise<StatementResult> => {
    const startedAtMs = nowMs();
    const isContinuation = call.transaction !== 0 && !call.opensTransaction;
    if (!isContinuation && options.hasNoReachableGroup()) {
      log.info('request.cutOff', { request: call.requestId, group: call.group });
      return refuseAsBusy('this VM can reach no group', CUT_OFF_RETRY_MS);
    }
    let owner: string | undefined;
    do {
      const waitedMs = Math.round(nowMs() - startedAtMs);
      const groupCall: GroupCall = { ...call, call: 0, hasValues: false, values: [], waitedMs };
      owner = isContinuation
        ? openTransactions.get(call.transaction)?.vm
        : options.findServingVm(call.group);
      if (isContinuation && owner === undefined)
        return createRefusal('aborted', 'the transaction has already ended');
      // Nothing is sent any more whose answer would not be known before the end.
      if (!isContinuation && options.isStopping()) break;
      if (owner !== undefined) {
        if (call.opensTransaction)
          openTransactions.set(call.transaction, { vm: owner, group: call.group });
        try {
          const outcome = await callVm(owner, groupCall, values);
          if (outcome.kind !== 'notOwner') {
            unservedSinceMs.delete(call.group);
            return outcome;
          }
        } catch (error) {
          if (!(error instanceof LinkError)) throw error;
          const result = toLinkErrorResult(groupCall, error);
          log.info('request.linkLost', { request: call.requestId, owner, reason: error.message });
          if (result) return result;
        }
        if (isContinuation)
          return createRefusal('aborted', 'the VM that ran the transaction lost it');
      }
      const sinceMs = unservedSinceMs.get(call.group) ?? nowMs();
      unservedSinceMs.set(call.group, sinceMs);
      // A change of owner would have completed by now: waiting would only delay the refusal.
      if (nowMs() - sinceMs > UNSERVED_AFTER_MS) break;
      await sleep(OWNER_POLL_MS);
    } while (mayTryAgain(call, nowMs() - startedAtMs, owner));
    log.info('request.noOwner', {
      request: call.requestId,
      group: call.group,
      owner,
      waitedMs: Math.round(nowMs() - startedAtMs),
    });
    return refuseAsBusy('no reachable VM serves the group', NO_OWNER_RETRY_MS);
  };

  return {
    run: createHeldRun({ ...options, run }),
    /** Ends an open transaction without a commit, at the VM that runs it. */
    endTransaction: (transaction: number): void => {
      const location = openTransactions.get(transaction);
      if (!location) return;
      openTransactions.delete(transaction);
      if (location.vm === self) options.endLocalTransaction(location.group, transaction);
      else options.link(location.vm)?.endTransaction(transaction);
    },
    /** Call when a transaction has ended at its VM. */
    forgetTransaction: (transaction: number): void => {
      openTransactions.delete(transaction);
    },
  };
};

export default createGroupRouter;
