import { comparePositions, type LogPosition } from '@auburngrade/coordination';
import type GroupEndpoint from '../seams/groupEndpoint';
import type MemberCommand from '../seams/memberCommand';
import type MemberConnection from '../seams/memberConnection';
import MemberDialer from '../seams/memberDialer';
import MemberConnectionError from '../seams/memberConnectionError';
import type MemberReply from '../seams/memberReply';

type FailureKind = NonNullable<MemberReply['failure']>['kind'];

/** A caller's statement that a fake member ran. */
interface StatementRun {
  endpoint: string;
  connection: number;
  account: string;
  requestId: string;
  text: string;
  values: string;
  isInTransaction: boolean;
}

const RUN_FAILURES = ['failed', 'timedOut', 'other'];

/** A fault of an endpoint's next statement: a failure reply, a broken connection or no reply. */
interface InjectedFault {
  endpoint: string;
  kind: FailureKind | 'breakBefore' | 'breakAfter' | 'noAnswer';
}

interface FakeMember {
  endpoint: GroupEndpoint;
  isPrimary: boolean;
  received: LogPosition;
  isUnreachable: boolean;
}

/** In-memory fake of a group's members behind a `MemberDialer`; records which statements ran. */
const createFakeMembers = (endpoints: readonly GroupEndpoint[]) => {
  const members = new Map<string, FakeMember>(
    endpoints.map((endpoint) => [
      endpoint.id,
      {
        endpoint,
        isPrimary: endpoint.isRegisteredAsPrimary,
        received: { term: 1, number: 1 },
        isUnreachable: false,
      },
    ]),
  );
  const runs: StatementRun[] = [];
  const committed: string[] = [];
  const faults: InjectedFault[] = [];
  const openConnections = new Map<() => void, string>();
  const heldAccounts = new Map<string, Promise<void>>();
  /** Endpoints at their connection limit. */
  const fullEndpoints = new Set<string>();
  const busyEndpoints = new Set<string>();
  let openedCount = 0;
  let attemptCount = 0;
  const listPrimaries = (): string[] =>
    [...members]
      .filter(([, { isPrimary }]) => isPrimary)
      .sort(([, a], [, b]) => b.received.term - a.received.term)
      .map(([id]) => id);

  const openConnection = async (
    endpoint: GroupEndpoint,
    account: string,
  ): Promise<MemberConnection> => {
    attemptCount += 1;
    const member = members.get(endpoint.id);
    if (!member || member.isUnreachable)
      throw new MemberConnectionError('silent', 'the fake member is unreachable');
    if (fullEndpoints.has(endpoint.id))
      throw new MemberConnectionError('connectionLimit', 'the fake member is full');
    await heldAccounts.get(account);
    openedCount += 1;
    const connectionNumber = openedCount;
    const values = new Map<string, string>();
    const prepared = new Map<string, string>();
    const listeners: (() => void)[] = [];
    const pendingRejects = new Set<(error: Error) => void>();
    let uncommittedWrites: string[] = [];
    let transactionState: MemberReply['state'] = 'idle';
    let isEnded = false;

    const endConnection = (): void => {
      isEnded = true;
      openConnections.delete(endConnection);
      pendingRejects.forEach((reject) =>
        reject(new MemberConnectionError('broken', 'the fake connection was closed')),
      );
      listeners.forEach((listener) => listener());
    };
    const buildReply = (changes: Partial<MemberReply> = {}): MemberReply => ({
      rows: [],
      signature: '-',
      state: transactionState,
      position: member.received,
      ...changes,
    });
    const buildFailure = (kind: FailureKind): MemberReply => {
      if (transactionState === 'open' && kind !== 'busy') transactionState = 'failed';
      return buildReply({ signature: undefined, failure: { kind, message: kind } });
    };
    const commitWrites = (texts: string[]): void => {
      if (texts.length === 0) return;
      committed.push(...texts);
      member.received = { ...member.received, number: member.received.number + 1 };
    };

    const getText = (command: MemberCommand): string => {
      if (command.kind === 'execute') return prepared.get(command.name) ?? '';
      return command.kind === 'forward' ? command.text : '';
    };

    const runStatement = (command: MemberCommand & { requestId: string }): MemberReply => {
      const text = getText(command);
      if (command.kind === 'execute' && !prepared.has(command.name))
        return buildFailure('noStatement');
      const isWrite = text.startsWith('WRITE');
      if (
        'notBefore' in command &&
        command.notBefore &&
        comparePositions(member.received, command.notBefore) < 0
      ) {
        return buildFailure('lagging');
      }
      if (isWrite && !member.isPrimary) return buildFailure('readOnly');
      runs.push({
        endpoint: endpoint.id,
        connection: connectionNumber,
        account,
        requestId: command.requestId,
        text,
        values: [...values].map(([name, value]) => `${name}=${value}`).join(),
        isInTransaction: transactionState === 'open',
      });
      if (text === 'COMMIT') {
        commitWrites(uncommittedWrites);
        uncommittedWrites = [];
        transactionState = 'idle';
      } else if (isWrite && transactionState === 'open') {
        uncommittedWrites.push(text);
      } else if (isWrite) {
        commitWrites([text]);
      }
      return buildReply({
        rows: [`row of ${text}`],
        signature: `${endpoint.id}/${command.requestId}`,
      });
    };

    const runCommand = (command: MemberCommand): MemberReply => {
      switch (command.kind) {
        case 'forward':
        case 'execute':
          return runStatement(command);
        case 'begin':
          if (!command.isReadOnly && !member.isPrimary) return buildFailure('readOnly');
          transactionState = 'open';
          return buildReply();
        case 'demote':
          if (command.term > member.received.term) member.isPrimary = false;
          return buildReply({ rows: ['status'] });
        case 'rollback':
          uncommittedWrites = [];
          transactionState = 'idle';
          return buildReply();
        case 'reset':
          values.clear();
          prepared.clear();
          return buildReply();
        case 'setValue':
          values.set(command.name, command.value);
          return buildReply();
        case 'prepare':
          prepared.set(command.name, `${command.isWrite ? 'WRITE' : 'READ'} ${command.shape}`);
          return buildReply();
        case 'deallocate':
          return prepared.delete(command.name) ? buildReply() : buildFailure('noStatement');
        default:
          if (busyEndpoints.has(endpoint.id)) return buildFailure('busy');
          return buildReply({ rows: ['status'] });
      }
    };

    openConnections.set(endConnection, endpoint.id);
    return {
      initialPosition: member.received,
      send: (command) =>
        new Promise((resolve, reject) => {
          if (isEnded) {
            reject(new MemberConnectionError('broken', 'the fake connection was closed'));
            return;
          }
          pendingRejects.add(reject);
          if (member.isUnreachable) return;
          const isStatement = command.kind === 'forward' || command.kind === 'execute';
          const faultIndex = isStatement
            ? faults.findIndex((fault) => fault.endpoint === endpoint.id)
            : -1;
          const fault = faultIndex < 0 ? undefined : faults.splice(faultIndex, 1)[0];
          setImmediate(() => {
            if (fault?.kind === 'breakBefore') {
              endConnection();
              return;
            }
            const isFailure = fault && !['breakAfter', 'noAnswer'].includes(fault.kind);
            // An endpoint that reports a failure of a kind that may have run has run the command here.
            const isRun = isFailure && RUN_FAILURES.includes(fault.kind);
            const reply = isFailure && !isRun ? undefined : runCommand(command);
            const answer = isFailure || !reply ? buildFailure(fault?.kind as FailureKind) : reply;
            if (fault?.kind === 'breakAfter') endConnection();
            else if (fault?.kind !== 'noAnswer') resolve(answer);
            pendingRejects.delete(reject);
            if (fault?.kind === 'noAnswer') pendingRejects.add(reject);
          });
        }),
      close: () => {
        if (!isEnded) endConnection();
      },
      onEnd: (listener) => listeners.push(listener),
    };
  };

  class FakeDialer extends MemberDialer {
    override open(...[endpoint, account]: Parameters<MemberDialer['open']>) {
      return openConnection(endpoint, account);
    }

    override canSend(_group: string, account: string) {
      return !account.includes(' ');
    }

    override readStatus(reply: MemberReply) {
      if (reply.failure) return undefined;
      const position = reply.position ?? { term: 0, number: 0 };
      const member = [...members.values()].find(({ received }) => received === reply.position);
      return {
        isPrimary: member?.isPrimary ?? false,
        term: position.term,
        receivedPosition: position,
        connections: 0,
      };
    }
  }

  return {
    dialer: new FakeDialer(),
    runs,
    committed,
    countOpenedConnections: () => openedCount,
    countConnectionAttempts: () => attemptCount,
    addFault: (endpoint: string, kind: InjectedFault['kind']): void => {
      faults.push({ endpoint, kind });
    },
    setUnreachable: (endpoint: string, isUnreachable: boolean): void => {
      const member = members.get(endpoint);
      if (member) member.isUnreachable = isUnreachable;
    },
    /** Ends all open connections, as an endpoint that stops does. */
    endConnections: (endpoint: string): void =>
      [...openConnections]
        .filter(([, id]) => id === endpoint)
        .forEach(([endConnection]) => endConnection()),
    /** Refuses further connections to an endpoint, as one at its connection limit does. */
    refuseConnections: (endpoint: string, isFull = true): void => {
      if (isFull) fullEndpoints.add(endpoint);
      else fullEndpoints.delete(endpoint);
    },
    /** Delays the opening of an account's connections until the returned function is called. */
    holdOpening: (account: string): (() => void) => {
      let release = (): void => undefined;
      heldAccounts.set(
        account,
        new Promise((resolve) => {
          release = resolve;
        }),
      );
      return () => {
        heldAccounts.delete(account);
        release();
      };
    },
    /** Endpoints that take themselves for the primary; the one that leads the newest term comes first. */
    listPrimaries,
    /** The log position up to which an endpoint has received. */
    receivedBy: (endpoint: string): LogPosition | undefined => members.get(endpoint)?.received,
    /** Brings all replicas to the primary's log position. */
    replicate: (): void => {
      const primary = members.get(listPrimaries()[0] ?? '');
      members.forEach((entry) => {
        const member = entry;
        if (primary && !member.isPrimary) member.received = { ...primary.received };
      });
    },
    /** Brings one replica to the primary's log position. */
    replicateTo: (endpoint: string): void => {
      const primary = members.get(listPrimaries()[0] ?? '');
      const member = members.get(endpoint);
      if (primary && member) member.received = { ...primary.received };
    },
    /** Answers status commands with `busy`, as an endpoint does whose slots are taken. */
    setBusy: (endpoint: string, isBusy: boolean): void => {
      if (isBusy) busyEndpoints.add(endpoint);
      else busyEndpoints.delete(endpoint);
    },
    /** Makes an endpoint primary. One that isn't told, or can't be reached, learns of it by a `demote`. */
    promote: (endpoint: string, areOthersTold = true): void => {
      const newestTerm = Math.max(...[...members.values()].map(({ received }) => received.term));
      members.forEach((entry, id) => {
        const member = entry;
        if (id === endpoint) {
          member.isPrimary = true;
          member.received = { term: newestTerm + 1, number: member.received.number };
        } else if (areOthersTold && !member.isUnreachable) {
          member.isPrimary = false;
        }
      });
    },
    /** How many commits an endpoint has received. */
    findPosition: (endpoint: string): number => members.get(endpoint)?.received.number ?? 0,
    /** Makes a former primary a replica, as when it learns of its successor. */
    stepDown: (endpoint: string): void => {
      const member = members.get(endpoint);
      if (member) member.isPrimary = false;
    },
  };
};

export default createFakeMembers;
