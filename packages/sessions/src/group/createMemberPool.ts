import {
  decideEndpointUse,
  maxPosition,
  type EndpointUse,
  type EvacuationPhase,
  type LogPosition,
} from '@auburngrade/coordination';
import type EventLog from '../seams/eventLog';
import type GroupEndpoint from '../seams/groupEndpoint';
import type MemberConnection from '../seams/memberConnection';
import type MemberCommand from '../seams/memberCommand';
import type MemberDialer from '../seams/memberDialer';
import MemberConnectionError from '../seams/memberConnectionError';
import type MemberReply from '../seams/memberReply';
import type EndpointStatus from '../seams/memberStatus';
import createConnectionOpenings from './createConnectionOpenings';
import createEndpointHealth from './createEndpointHealth';
import createEndpointWarmup from './createEndpointWarmup';
import createIdleConnections from './createIdleConnections';
import createPooledConnection from './createPooledConnection';
import type PooledConnection from './pooledConnection';

/** Opening takes two round trips and 12 ms of a slot, which may be busy for some 100 ms before. */
const OPEN_TIMEOUT_MS = 700;
/** Timeout for connecting and again for the reply; a status command takes 0.5 ms of a slot. */
const PROBE_TIMEOUT_MS = 350;
/** Back-off after the endpoint's connection limit was hit: other clients must first close some. */
const CONNECTION_LIMIT_BACKOFF_MS = 250;
/** Back-off after a `busy` reply: about the duration of one statement. */
const BUSY_BACKOFF_MS = 15;
/** Minimum time between two probes of an endpoint. */
const PROBE_INTERVAL_MS = 300;
/** An endpoint with pending commands that has not replied for this long is probed. */
const OVERDUE_REPLY_MS = 300;
/** Weight of the newest sample in the moving average of the reply latency. */
const LATENCY_WEIGHT = 0.1;
/** Fraction of the limit that may stay open idle; the rest is left to a VM that takes over. */
const KEPT_CONNECTION_RATIO = 0.5;
/** Idle time after which a connection beyond that fraction is closed. */
const EXCESS_IDLE_TIMEOUT_MS = 1_000;
/** Assumed reply latency before the first sample. */
const INITIAL_LATENCY_MS = 25;

interface MemberPoolOptions {
  dialer: MemberDialer;
  log: EventLog;
  nowMs(): number;
  /** Called when a slot or connection may be free, or the endpoint's health has changed. */
  onChange(): void;
  onReply(reply: MemberReply, sentAtMs: number): void;
  /** How far the evacuation of a data centre is. */
  evacuationPhaseOf(dataCentre: string): EvacuationPhase;
  /** Whether the endpoint is the primary, even while that is being replaced. */
  isPrimary(): boolean;
  /** Client account used for status commands. */
  controlAccount(): string;
}

/** Pools connections to one endpoint, each bound to a client account, and tracks its health. */
const createMemberPool = (initialEndpoint: GroupEndpoint, options: MemberPoolOptions) => {
  const { dialer, log, nowMs, onChange, onReply } = options;
  let endpoint = initialEndpoint;
  let maxConnections = 1;
  let inFlightStatements = 0;
  const connections = new Set<PooledConnection>();
  const pendingSentAtMs = new Map<object, number>();
  let lastReplyAtMs = nowMs();
  let pausedUntilMs = 0;
  let connectPausedUntilMs = 0;
  const warmup = createEndpointWarmup({ nowMs, onChange });
  let isProbing = false;
  let lastProbeAtMs = 0;
  let position: LogPosition | undefined;
  let latencyMs = INITIAL_LATENCY_MS;
  let isClosed = false;
  let isReusingConnections = true;

  const getPhase = (): EvacuationPhase => options.evacuationPhaseOf(endpoint.dataCentre);
  const getUse = (isPrimary = options.isPrimary()): EndpointUse =>
    decideEndpointUse({ phase: getPhase(), isLeaving: endpoint.isLeaving, isPrimary });
  /** Call right before anything is sent. @throws MemberConnectionError */
  const requireContact = (): void => {
    if (!getUse().isContacted)
      throw new MemberConnectionError(
        'broken',
        `the data centre of endpoint ${endpoint.id} is evacuated`,
      );
  };

  const createClosedError = (): MemberConnectionError =>
    new MemberConnectionError(
      'broken',
      `the connections to endpoint ${endpoint.id} were closed meanwhile`,
    );

  const openings = createConnectionOpenings({ onChange, createClosedError });

  const idle = createIdleConnections();
  const closeConnection = (connection: PooledConnection): void => {
    connections.delete(connection);
    idle.delete(connection);
    connection.memberConnection.close();
  };

  /** Closes all connections, also those that are being opened; commands pending on them fail. */
  const closeAll = (): void => {
    [...connections].forEach(closeConnection);
    openings.abandonAll();
  };

  const health = createEndpointHealth({
    log,
    endpoint: () => endpoint,
    onChange: (isDown) => {
      // Pending statements fail at once, to be retried elsewhere or reported to the caller.
      if (isDown) closeAll();
      onChange();
    },
  });

  const handleReply = (reply: MemberReply, sentAtMs: number): void => {
    lastReplyAtMs = nowMs();
    health.noteAnswer('endpoint replied');
    position = maxPosition(position, reply.position);
    onReply(reply, sentAtMs);
  };

  /** Sends a command and tracks it as pending until its reply. @throws MemberLinkError */
  const send = async (
    connection: PooledConnection,
    command: MemberCommand,
  ): Promise<MemberReply> => {
    requireContact();
    // Statements were counted when they got their slot.
    if (command.kind !== 'forward' && command.kind !== 'execute') warmup.noteSent();
    const requestToken = {};
    const sentAtMs = nowMs();
    pendingSentAtMs.set(requestToken, sentAtMs);
    try {
      const reply = await connection.memberConnection.send(command);
      handleReply(reply, sentAtMs);
      return reply;
    } finally {
      pendingSentAtMs.delete(requestToken);
    }
  };

  const addConnection = (opened: MemberConnection, account: string): PooledConnection => {
    if (isClosed || !getUse().isContacted) {
      opened.close();
      throw createClosedError();
    }
    const connection = createPooledConnection(opened, account, nowMs());
    lastReplyAtMs = nowMs();
    connections.add(connection);
    opened.onEnd(() => {
      connection.isEnded = true;
      connections.delete(connection);
      idle.delete(connection);
      onChange();
    });
    position = maxPosition(position, opened.initialPosition);
    return connection;
  };

  const openConnection = async (account: string): Promise<PooledConnection> => {
    requireContact();
    const sentAtMs = nowMs();
    // An opening must not outlast what the last phase leaves for requests that are under way.
    const timeoutMs = getPhase() === 'inService' ? OPEN_TIMEOUT_MS : PROBE_TIMEOUT_MS;
    try {
      return await openings.run(
        () => dialer.open(endpoint, account, timeoutMs),
        (opened) => addConnection(opened, account),
      );
    } catch (error) {
      if (error instanceof MemberConnectionError) {
        log.info('member.refused', {
          endpoint: endpoint.id,
          reason: error.reason,
          waitedMs: Math.round(nowMs() - sentAtMs),
          open: connections.size,
        });
        if (error.reason === 'connectionLimit') {
          connectPausedUntilMs = nowMs() + CONNECTION_LIMIT_BACKOFF_MS;
          setTimeout(onChange, CONNECTION_LIMIT_BACKOFF_MS + 1);
        }
        if (error.reason === 'busy') pausedUntilMs = nowMs() + BUSY_BACKOFF_MS;
        if (['refused', 'silent', 'misrouted'].includes(error.reason)) {
          health.noteFailure(error.reason, error.reason !== 'silent');
        }
      }
      throw error;
    }
  };

  const canOpenConnection = (): boolean =>
    connections.size + openings.count() < maxConnections && nowMs() >= connectPausedUntilMs;

  /** Makes room by closing the connection idle for longest; returns false when none is idle. */
  const evictOldestIdle = (): boolean => {
    const [oldest] = idle.listOldestFirst();
    if (!oldest) return false;
    closeConnection(oldest);
    return true;
  };

  /** Requests the endpoint's status on a new connection; returns undefined on failure. */
  const probe = async (): Promise<EndpointStatus | undefined> => {
    if (!getUse().isContacted) return undefined;
    lastProbeAtMs = nowMs();
    let connection: PooledConnection | undefined;
    try {
      const account = options.controlAccount();
      const memberConnection = await dialer.open(endpoint, account, PROBE_TIMEOUT_MS);
      connection = createPooledConnection(memberConnection, account, nowMs());
      const replyTimer = setTimeout(() => memberConnection.close(), PROBE_TIMEOUT_MS);
      const reply = await send(connection, { kind: 'status' });
      clearTimeout(replyTimer);
      return dialer.readStatus(reply);
    } catch (error) {
      // Says nothing about the endpoint: the data centre was evacuated meanwhile.
      if (!getUse().isContacted) return undefined;
      if (error instanceof MemberConnectionError && error.reason === 'connectionLimit') {
        lastReplyAtMs = nowMs();
        health.noteProven();
        return undefined;
      }
      // Says nothing about the endpoint: nothing was sent.
      if (error instanceof MemberConnectionError && error.reason === 'unsendable') return undefined;
      const reason = error instanceof MemberConnectionError ? error.reason : String(error);
      health.noteFailure(reason, ['refused', 'misrouted'].includes(reason));
      return undefined;
    } finally {
      connection?.memberConnection.close();
    }
  };

  const startProbe = (): void => {
    if (isProbing) return;
    isProbing = true;
    probe().finally(() => {
      isProbing = false;
    });
  };

  return {
    endpoint: () => endpoint,
    phase: getPhase,
    use: () => getUse(),
    update: (next: GroupEndpoint, connectionLimit: number, warmupRatePerS: number): void => {
      warmup.update(next, warmupRatePerS);
      if (next.startedAtUnixMs !== endpoint.startedAtUnixMs || next.address !== endpoint.address) {
        health.noteRestart('endpoint restarted or changed its address');
      }
      endpoint = next;
      maxConnections = connectionLimit;
    },
    getLoad: (account: string, isPrimary: boolean) => {
      const hasIdleConnection = idle.find(account, '') !== undefined;
      return {
        id: endpoint.id,
        isPrimary,
        isLeaving: !getUse(isPrimary).acceptsNewWork,
        isDown: !health.isUsable() || !getUse().isContacted,
        activeStatements: inFlightStatements,
        slots: endpoint.slots,
        canConnect: hasIdleConnection || canOpenConnection() || idle.count() > 0,
        hasIdleConnection,
        position,
        latencyMs,
        pausedUntilMs: Math.max(pausedUntilMs, warmup.nextSendAtMs()),
      };
    },
    /** Whether another statement may be sent: one per slot, plus one to hide network latency. */
    hasCapacity: (): boolean =>
      health.isUsable() &&
      getUse().isContacted &&
      inFlightStatements <= endpoint.slots &&
      warmup.nextSendAtMs() <= nowMs(),
    isDown: health.isDown,
    position: () => position,
    connectionCount: () => connections.size + openings.count(),
    acquireSlot: (): void => {
      inFlightStatements += 1;
      warmup.noteSent();
    },
    releaseSlot: (): void => {
      inFlightStatements -= 1;
    },
    /** Acquires an idle or new connection for an account. @throws MemberLinkError */
    acquire: async (account: string, valuesKey: string): Promise<PooledConnection> => {
      const idleConnection = idle.find(account, valuesKey);
      if (idleConnection) {
        idle.delete(idleConnection);
        return idleConnection;
      }
      if (!canOpenConnection() && !evictOldestIdle()) {
        throw new MemberConnectionError(
          'connectionLimit',
          `no free connection to endpoint ${endpoint.id}`,
        );
      }
      return openConnection(account);
    },
    release: (connection: PooledConnection): void => {
      if (
        connection.isEnded ||
        isClosed ||
        !isReusingConnections ||
        endpoint.isLeaving ||
        !getUse().acceptsNewWork
      ) {
        closeConnection(connection);
      } else {
        idle.add(connection, nowMs());
      }
      onChange();
    },
    closeConnection,
    send,
    recordLatency: (elapsedMs: number): void => {
      latencyMs += (elapsedMs - latencyMs) * LATENCY_WEIGHT;
    },
    pauseAfterBusy: (): void => {
      pausedUntilMs = nowMs() + BUSY_BACKOFF_MS;
      setTimeout(onChange, BUSY_BACKOFF_MS + 1);
    },
    probe,
    /** Closes surplus idle connections, since those of a crashed VM count for 3 s. */
    closeExcessIdle: (): void => {
      const unusedSinceMs = nowMs() - EXCESS_IDLE_TIMEOUT_MS;
      const keptCount = Math.floor(maxConnections * KEPT_CONNECTION_RATIO);
      idle
        .listOldestFirst()
        .slice(0, Math.max(0, connections.size - keptCount))
        .filter(({ lastUsedAtMs }) => lastUsedAtMs < unusedSinceMs)
        .forEach(closeConnection);
    },
    /** Probes the endpoint when a reply is overdue, an earlier probe failed or it is down. */
    probeIfOverdue: (): void => {
      if (!getUse().isContacted) return;
      const now = nowMs();
      const oldestSentAtMs = Math.min(...pendingSentAtMs.values(), now);
      const isOverdue = now - Math.max(oldestSentAtMs, lastReplyAtMs) > OVERDUE_REPLY_MS;
      if ((isOverdue || health.isSuspect()) && now - lastProbeAtMs > PROBE_INTERVAL_MS) {
        startProbe();
      }
    },
    closeAll,
    closeIdle: (): void => idle.listOldestFirst().forEach(closeConnection),
    /** Call when the evacuation of its data centre has ended: it is used once it has answered a probe. */
    noteReturned: (): void => {
      health.noteReturned();
      warmup.noteReturned();
      startProbe();
    },
    /** Closes idle connections now, and others when they are released. */
    stopReusingConnections: (): void => {
      isReusingConnections = false;
      idle.listOldestFirst().forEach(closeConnection);
    },
    close: (): void => {
      isClosed = true;
      warmup.close();
      closeAll();
    },
  };
};

export default createMemberPool;
