import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import type FaultMode from './faultMode';

interface Pair {
  caller: Socket;
  target: Socket;
  /** A connection that was open when the link went silent stays silent for good. */
  isStuck: boolean;
}

/** A TCP proxy for one link that a test can cut, silence or delay; the delay is one way. */
const createFaultProxy = async (targetHost: string, targetPort: number, initialDelayMs = 0) => {
  const pairs = new Set<Pair>();
  let mode: FaultMode = 'pass';
  let recorded: Map<Socket, Buffer[]> | undefined;
  let delayMs = initialDelayMs;

  const destroy = (pair: Pair): void => {
    pair.caller.destroy();
    pair.target.destroy();
    pairs.delete(pair);
  };

  const keep = (from: Socket, data: Buffer): void => {
    if (!recorded) return;
    const parts = recorded.get(from) ?? [];
    parts.push(data);
    recorded.set(from, parts);
  };

  const forward = (pair: Pair, from: Socket, to: Socket, droppedIn: FaultMode): void => {
    from.on('data', (data) => {
      keep(from, data);
      if (pair.isStuck || mode === 'silent' || mode === droppedIn) return;
      if (delayMs === 0) to.write(data);
      else setTimeout(() => to.destroyed || to.write(data), delayMs);
    });
    from.on('error', () => destroy(pair));
    from.on('close', () => {
      if (mode !== 'silent' && !pair.isStuck) setTimeout(() => destroy(pair), delayMs);
    });
  };

  const server = createServer((caller) => {
    if (mode === 'cut') {
      caller.destroy();
      return;
    }
    const target = connect(targetPort, targetHost);
    const pair = { caller, target, isStuck: false };
    [caller, target].forEach((socket) => socket.setNoDelay(true));
    pairs.add(pair);
    forward(pair, caller, target, 'dropRequests');
    forward(pair, target, caller, 'dropAnswers');
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });

  return {
    port: (server.address() as AddressInfo).port,
    setMode: (next: FaultMode): void => {
      mode = next;
      if (next === 'cut') [...pairs].forEach(destroy);
    },
    setDelayMs: (next: number): void => {
      delayMs = next;
    },
    /** Makes the connections that are open now silent for good; new ones work. */
    silenceOpenConnections: (): void => {
      pairs.forEach((pair) => Object.assign(pair, { isStuck: true }));
    },
    connections: () => pairs.size,
    /** Keeps all bytes that arrive from now on. */
    record: (): void => {
      recorded = new Map();
    },
    /** What was recorded, one buffer for each connection and direction. */
    recorded: (): Buffer[] => [...(recorded?.values() ?? [])].map((parts) => Buffer.concat(parts)),
    close: (): void => {
      [...pairs].forEach(destroy);
      server.close();
    },
  };
};

export default createFaultProxy;
