import type { Socket } from 'node:net';
import { PostgresConnection } from 'pg-gateway';
import { BufferReader } from 'pg-protocol/dist/buffer-reader';
import createMessageQueue from './createMessageQueue';
import createMemberSession from './createMemberSession';
import createReplyWriter from './createReplyWriter';
import type Member from './member';
import SqlError from './sqlError';

const INTERNAL_STATE = 'XX000';
const HEADER_BYTES = 5;

const toSqlError = (error: unknown): SqlError =>
  error instanceof SqlError
    ? error
    : new SqlError(INTERNAL_STATE, error instanceof Error ? error.message : String(error));

/** The time after which a session asked to be closed when idle; 0: never. */
const idleTimeoutMsOf = (options: string | undefined): number =>
  Number(/idle_session_timeout=(\d+)/.exec(options ?? '')?.[1] ?? 0);

const readBind = (reader: BufferReader): (string | null)[] => {
  reader.cstring();
  reader.cstring();
  const formatCount = reader.int16();
  for (let i = 0; i < formatCount; i += 1) reader.int16();
  const count = reader.int16();
  return Array.from({ length: count }, () => {
    const bytes = reader.int32();
    return bytes === -1 ? null : reader.string(bytes);
  });
};

/** Serves one client connection of a stand-in member over the PostgreSQL protocol. */
const serveMemberConnection = (socket: Socket, member: Member): void => {
  const session = createMemberSession(member);
  const reply = createReplyWriter();
  const reader = new BufferReader();
  let sql = '';
  let parameters: (string | null)[] = [];
  let isSkipping = false;
  let idleTimeoutMs = 0;
  let idleTimer: NodeJS.Timeout | undefined;

  const startIdleTimer = (): void => {
    clearTimeout(idleTimer);
    if (idleTimeoutMs === 0 || session.status() !== 'idle') return;
    idleTimer = setTimeout(() => socket.destroy(), idleTimeoutMs);
  };

  const flush = (): void => {
    if (!socket.destroyed) socket.write(reply.take());
  };

  const attempt = async (run: () => Promise<void>): Promise<boolean> => {
    try {
      await run();
      return true;
    } catch (error) {
      reply.error(toSqlError(error));
      return false;
    }
  };

  const runScript = async (text: string): Promise<void> => {
    const statements = text.split(/;(?=(?:[^']*'[^']*')*[^']*$)/).filter((part) => part.trim());
    await attempt(async () => {
      for (const statement of statements) {
        // Statements of one script run in order on one session.

        reply.result(await session.run(statement.trim(), []));
      }
    });
    reply.ready(session.status());
    flush();
    startIdleTimer();
  };

  const handlers: Record<string, () => Promise<void> | void> = {
    Q: () => runScript(reader.cstring()),
    P: () => {
      reader.cstring();
      sql = reader.cstring();
      reply.empty('parseComplete');
    },
    B: () => {
      parameters = readBind(reader);
      reply.empty('bindComplete');
    },
    D: () => {},
    E: async () => {
      isSkipping = !(await attempt(async () => reply.result(await session.run(sql, parameters))));
    },
    C: () => reply.empty('closeComplete'),
    S: () => {
      isSkipping = false;
      reply.ready(session.status());
      flush();
      startIdleTimer();
    },
    H: flush,
    X: () => {
      socket.end();
    },
  };

  const handleMessage = async (message: Buffer): Promise<void> => {
    const code = String.fromCharCode(message[0] ?? 0);
    if (isSkipping && code !== 'S' && code !== 'X') return;
    reader.setBuffer(HEADER_BYTES, message);
    await handlers[code]?.();
  };

  socket.setNoDelay(true);
  socket.on('error', () => socket.destroy());
  socket.on('close', () => {
    clearTimeout(idleTimer);
    session.close();
  });
  const gateway = new PostgresConnection(socket, {
    serverVersion: '15.0',
    authMode: 'none',
    // The library handles the start-up only: its own loop mixes up messages that
    // arrive while an earlier one is still awaited.
    onAuthenticated: () => {
      gateway.detach();
      idleTimeoutMs = idleTimeoutMsOf(gateway.clientInfo?.parameters.options);
      startIdleTimer();
      const enqueue = createMessageQueue(handleMessage);
      socket.on('data', (data) => {
        clearTimeout(idleTimer);
        enqueue(data);
      });
    },
  });
};

export default serveMemberConnection;
