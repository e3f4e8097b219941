import { comparePositions, type LogPosition } from '@auburngrade/coordination';
import type GroupEndpoint from '../seams/groupEndpoint';
import type MemberCommand from '../seams/memberCommand';
import type MemberConnection from '../seams/memberConnection';
import MemberDialer from '../seams/memberDialer';
import MemberLinkError from '../seams/memberLinkError';
import type MemberReply from '../seams/memberReply';

type Failure = NonNullable<MemberReply['failure']>['kind'];

/** What a member did with a statement that a caller sent. */
interface MemberRun {
  endpoint: string;
  connection: number;
  account: string;
  requestId: string;
  text: string;
  values: string;
  inTransaction: boolean;
}

/** How a member misbehaves with the next statement that matches. */
interface Fault {
  endpoint: string;
  kind: Failure | 'breakBefore' | 'breakAfter' | 'noAnswer';
}

interface Member {
  endpoint: GroupEndpoint;
  isPrimary: boolean;
  received: LogPosition;
  isDark: boolean;
}

/** Members of a group in memory, behind the product's own seam; keeps a journal of what they ran. */
const createMemberStandIn = (endpoints: readonly GroupEndpoint[]) => {
  const members = new Map<string, Member>(
    endpoints.map((endpoint) => [
      endpoint.id,
      {
        endpoint,
        isPrimary: endpoint.claimsPrimary,
        received: { term: 1, number: 1 },
        isDark: false,
      },
    ]),
  );
  const runs: MemberRun[] = [];
  const committed: string[] = [];
  const faults: Fault[] = [];
  let opened = 0;
  let attempts = 0;

  const open = async (endpoint: GroupEndpoint, account: string): Promise<MemberConnection> => {
    attempts += 1;
    const member = members.get(endpoint.id);
    if (!member || member.isDark) throw new MemberLinkError('silent', 'the member is dark');
    opened += 1;
    const connection = opened;
    const values = new Map<string, string>();
    const prepared = new Map<string, string>();
    const listeners: (() => void)[] = [];
    const rejects = new Set<(error: Error) => void>();
    let written: string[] = [];
    let state: MemberReply['state'] = 'idle';
    let isEnded = false;

    const end = (): void => {
      isEnded = true;
      rejects.forEach((reject) => reject(new MemberLinkError('broken', 'the connection ended')));
      listeners.forEach((listener) => listener());
    };
    const reply = (changes: Partial<MemberReply> = {}): MemberReply => ({
      rows: [],
      signature: '-',
      state,
      position: member.received,
      ...changes,
    });
    const fail = (kind: Failure): MemberReply => {
      if (state === 'open' && kind !== 'busy') state = 'failed';
      return reply({ signature: undefined, failure: { kind, message: kind } });
    };
    const commit = (texts: string[]): void => {
      if (texts.length === 0) return;
      committed.push(...texts);
      member.received = { ...member.received, number: member.received.number + 1 };
    };

    const textOf = (command: MemberCommand): string => {
      if (command.kind === 'execute') return prepared.get(command.name) ?? '';
      return command.kind === 'forward' ? command.text : '';
    };

    const runForwarded = (command: MemberCommand & { requestId: string }): MemberReply => {
      const text = textOf(command);
      if (command.kind === 'execute' && !prepared.has(command.name)) return fail('noStatement');
      const isWrite = text.startsWith('WRITE');
      if (
        'notBefore' in command &&
        command.notBefore &&
        comparePositions(member.received, command.notBefore) < 0
      ) {
        return fail('lagging');
      }
      if (isWrite && !member.isPrimary) return fail('readOnly');
      runs.push({
        endpoint: endpoint.id,
        connection,
        account,
        requestId: command.requestId,
        text,
        values: [...values].map(([name, value]) => `${name}=${value}`).join(),
        inTransaction: state === 'open',
      });
      if (text === 'COMMIT') {
        commit(written);
        written = [];
        state = 'idle';
      } else if (isWrite && state === 'open') {
        written.push(text);
      } else if (isWrite) {
        commit([text]);
      }
      return reply({ rows: [`row of ${text}`], signature: `${endpoint.id}/${command.requestId}` });
    };

    const run = (command: MemberCommand): MemberReply => {
      switch (command.kind) {
        case 'forward':
        case 'execute':
          return runForwarded(command);
        case 'begin':
          if (!command.isReadOnly && !member.isPrimary) return fail('readOnly');
          state = 'open';
          return reply();
        case 'rollback':
          written = [];
          state = 'idle';
          return reply();
        case 'reset':
          values.clear();
          prepared.clear();
          return reply();
        case 'setValue':
          values.set(command.name, command.value);
          return reply();
        case 'prepare':
          prepared.set(command.name, `${command.isWrite ? 'WRITE' : 'READ'} ${command.shape}`);
          return reply();
        default:
          return reply({ rows: ['status'] });
      }
    };

    return {
      openedAt: member.received,
      send: (command) =>
        new Promise((resolve, reject) => {
          if (isEnded) {
            reject(new MemberLinkError('broken', 'the connection ended'));
            return;
          }
          rejects.add(reject);
          if (member.isDark) return;
          const isForwarded = command.kind === 'forward' || command.kind === 'execute';
          const index = isForwarded
            ? faults.findIndex((fault) => fault.endpoint === endpoint.id)
            : -1;
          const fault = index < 0 ? undefined : faults.splice(index, 1)[0];
          setImmediate(() => {
            if (fault?.kind === 'breakBefore') {
              end();
              return;
            }
            const isFailure = fault && !['breakAfter', 'noAnswer'].includes(fault.kind);
            const answer = isFailure ? fail(fault.kind as Failure) : run(command);
            if (fault?.kind === 'breakAfter') end();
            else if (fault?.kind !== 'noAnswer') resolve(answer);
            rejects.delete(reject);
            if (fault?.kind === 'noAnswer') rejects.add(reject);
          });
        }),
      close: () => {
        if (!isEnded) end();
      },
      onEnd: (listener) => listeners.push(listener),
    };
  };

  class StandInDialer extends MemberDialer {
    override open(...[endpoint, account]: Parameters<MemberDialer['open']>) {
      return open(endpoint, account);
    }

    override readStatus(reply: MemberReply) {
      const position = reply.position ?? { term: 0, number: 0 };
      const member = [...members.values()].find(({ received }) => received === reply.position);
      return {
        isPrimary: member?.isPrimary ?? false,
        term: position.term,
        received: position,
        connections: 0,
      };
    }
  }

  return {
    dialer: new StandInDialer() as MemberDialer,
    runs,
    committed,
    openedConnections: () => opened,
    attemptedConnections: () => attempts,
    addFault: (endpoint: string, kind: Fault['kind']): void => {
      faults.push({ endpoint, kind });
    },
    setDark: (endpoint: string, isDark: boolean): void => {
      const member = members.get(endpoint);
      if (member) member.isDark = isDark;
    },
    /** Lets replicas receive what the primary has. */
    replicate: (): void => {
      const primary = [...members.values()].find(({ isPrimary }) => isPrimary);
      members.forEach((entry) => {
        const member = entry;
        if (primary && !member.isPrimary) member.received = { ...primary.received };
      });
    },
    promote: (endpoint: string): void => {
      members.forEach((entry, id) => {
        const member = entry;
        member.isPrimary = id === endpoint;
        if (id === endpoint) {
          member.received = { term: member.received.term + 1, number: member.received.number };
        }
      });
    },
  };
};

export default createMemberStandIn;
