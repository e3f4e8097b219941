import { createServer, connect, type Socket } from 'node:net';
import { createInterface } from 'node:readline';
import { setTimeout as sleep } from 'node:timers/promises';
import type LogEntry from './logEntry';
import type MemberLog from './memberLog';

interface Hello {
  termEnds: { term: number; position: number }[];
}
interface Frame {
  truncateTo?: number;
  entry?: LogEntry;
}

const RECONNECT_DELAY_MS = 50;

/** Reads lines; the reader repeats the socket's errors, which the socket's own listener handles. */
const readLines = (socket: Socket, onLine: (line: string) => void): void => {
  const lines = createInterface({ input: socket });
  lines.on('line', onLine);
  lines.on('error', () => {});
};

const serveFollower = (socket: Socket, log: MemberLog): void => {
  let sent = 0;
  let stop = (): void => {};
  const send = (frame: Frame): void => {
    socket.write(`${JSON.stringify(frame)}\n`);
  };
  const sendNew = (): void => {
    log.after(sent).forEach((entry) => {
      send({ entry });
      sent = entry.position;
    });
  };
  readLines(socket, (line) => {
    sent = log.commonPosition((JSON.parse(line) as Hello).termEnds);
    send({ truncateTo: sent });
    sendNew();
    stop = log.onGrowth(sendNew);
  });
  socket.on('error', () => socket.destroy());
  socket.on('close', () => stop());
};

/** Asynchronous replication between stand-in members: followers pull over TCP as JSON lines. */
const createReplication = (log: MemberLog, lagMs: () => number) => {
  let upstream: Socket | undefined;
  let upstreamGeneration = 0;

  const server = createServer((socket) => serveFollower(socket, log));

  /** Applies frames of one connection after the lag, in order also when the lag changes. */
  const createApplier = (socket: Socket) => {
    let applied = Promise.resolve();
    const apply = (frame: Frame): void => {
      if (socket !== upstream) return;
      if (frame.truncateTo !== undefined) log.truncate(frame.truncateTo);
      if (frame.entry && !log.append(frame.entry)) socket.destroy();
    };
    return (frame: Frame): void => {
      const delayed = sleep(lagMs());
      applied = applied.then(() => delayed).then(() => apply(frame));
    };
  };

  const follow = (host: string, port: number, generation: number): void => {
    const socket = connect(port, host, () => {
      socket.write(`${JSON.stringify({ termEnds: log.termEnds() } satisfies Hello)}\n`);
    });
    upstream = socket;
    const applyLater = createApplier(socket);
    readLines(socket, (line) => applyLater(JSON.parse(line) as Frame));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => {
      setTimeout(() => {
        if (generation === upstreamGeneration) follow(host, port, generation);
      }, RECONNECT_DELAY_MS);
    });
  };

  const stop = (): void => {
    upstreamGeneration += 1;
    upstream?.destroy();
    upstream = undefined;
  };

  return {
    listen: (port: number, host: string): void => {
      server.listen(port, host);
    },
    /** Follows another member; what was followed before is dropped. */
    follow: (host: string, port: number): void => {
      stop();
      follow(host, port, upstreamGeneration);
    },
    stop,
  };
};

export default createReplication;
