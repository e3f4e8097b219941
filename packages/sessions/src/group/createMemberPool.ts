import type { LogPosition } from '@auburngrade/coordination';
import { laterPosition } from '@auburngrade/coordination';
import type EventLog from '../seams/eventLog';
import type GroupEndpoint from '../seams/groupEndpoint';
import type MemberCommand from '../seams/memberCommand';
import type MemberDialer from '../seams/memberDialer';
import MemberLinkError from '../seams/memberLinkError';
import type MemberReply from '../seams/memberReply';
import type EndpointStatus from '../seams/memberStatus';
import type PooledMember from './pooledMember';

/** Opening takes two ways and 12 ms of a slot; a slot may be taken for some hundred ms before. */
const OPEN_TIMEOUT_MS = 700;
/** A status takes half a ms of a slot. */
const PROBE_TIMEOUT_MS = 350;
/** Pause after the endpoint had no connection left for us: others have to close theirs first. */
const CONNECTION_LIMIT_PAUSE_MS = 250;
/** Pause after the endpoint was full: about the length of a statement. */
const BUSY_PAUSE_MS = 15;
/** Pause between attempts to reach an endpoint that is down. */
const PROBE_INTERVAL_MS = 300;
/** An endpoint that owes an answer and has sent none for this long is asked for its status. */
const SUSPECT_AFTER_MS = 300;
/** Unanswered probes in a row after which an endpoint counts as down. */
const PROBES_UNTIL_DOWN = 2;
/** Weight of the newest answer in the average time of an answer. */
const LATENCY_WEIGHT = 0.1;
/** Part of the connections that may stay open unused: the rest is for the VM that takes over. */
const KEPT_IDLE_PART = 0.5;
/** How long a connection beyond that part may be unused. */
const IDLE_TRIM_MS = 1_000;
/** Assumed time of an answer before the first one. */
const INITIAL_LATENCY_MS = 25;

interface MemberPoolOptions {
  dialer: MemberDialer;
  log: EventLog;
  nowMs(): number;
  /** Called when a slot or a connection may have become free, or the endpoint's health changed. */
  onChange(): void;
  onReply(reply: MemberReply, askedAtMs: number): void;
  /** Account under which the endpoint is asked for its status. */
  controlAccount(): string;
}

/** The connections of this VM to one endpoint, bound to client accounts, and its health. */
const createMemberPool = (initial: GroupEndpoint, options: MemberPoolOptions) => {
  const { dialer, log, nowMs, onChange, onReply } = options;
  let endpoint = initial;
  let maxConnections = 1;
  let underWay = 0;
  let opening = 0;
  const connections = new Set<PooledMember>();
  const idle = new Set<PooledMember>();
  const askedAt = new Map<object, number>();
  let lastReplyAtMs = nowMs();
  let pausedUntilMs = 0;
  let openPausedUntilMs = 0;
  let failedProbes = 0;
  let isDown = false;
  let isProbing = false;
  let lastProbeAtMs = 0;
  let position: LogPosition | undefined;
  let latencyMs = INITIAL_LATENCY_MS;
  let isClosed = false;
  let keepsIdle = true;

  const drop = (member: PooledMember): void => {
    connections.delete(member);
    idle.delete(member);
    member.connection.close();
  };

  /** Ends all connections: what is under way on them gets no answer from here any more. */
  const dropAll = (): void => [...connections].forEach(drop);

  const setDown = (next: boolean, reason: string): void => {
    if (isDown === next) return;
    isDown = next;
    log.warn(next ? 'endpoint.down' : 'endpoint.up', {
      group: endpoint.group,
      endpoint: endpoint.id,
      reason,
      failedProbes,
    });
    // What is under way there is tried elsewhere, or its outcome told, without waiting longer.
    if (next) dropAll();
    onChange();
  };

  const heard = (reply: MemberReply, askedAtMs: number): void => {
    lastReplyAtMs = nowMs();
    failedProbes = 0;
    setDown(false, 'answered');
    position = laterPosition(position, reply.position);
    onReply(reply, askedAtMs);
  };

  /** Sends one command and keeps account of what is owed. */
  const ask = async (member: PooledMember, command: MemberCommand): Promise<MemberReply> => {
    const token = {};
    const askedAtMs = nowMs();
    askedAt.set(token, askedAtMs);
    try {
      const reply = await member.connection.send(command);
      heard(reply, askedAtMs);
      return reply;
    } finally {
      askedAt.delete(token);
    }
  };

  const open = async (account: string): Promise<PooledMember> => {
    opening += 1;
    const askedAtMs = nowMs();
    try {
      const connection = await dialer.open(endpoint, account, OPEN_TIMEOUT_MS);
      const member: PooledMember = {
        connection,
        account,
        values: new Map(),
        valuesKey: '',
        prepared: new Map(),
        lastUsedAtMs: nowMs(),
        isEnded: false,
      };
      if (isClosed) {
        connection.close();
        throw new MemberLinkError('broken', `the pool of ${endpoint.id} is closed`);
      }
      lastReplyAtMs = nowMs();
      connections.add(member);
      connection.onEnd(() => {
        member.isEnded = true;
        connections.delete(member);
        idle.delete(member);
        onChange();
      });
      if (connection.openedAt) position = laterPosition(position, connection.openedAt);
      return member;
    } catch (error) {
      if (error instanceof MemberLinkError) {
        log.info('member.refused', {
          endpoint: endpoint.id,
          reason: error.reason,
          waitedMs: Math.round(nowMs() - askedAtMs),
          open: connections.size,
        });
        if (error.reason === 'connectionLimit') {
          openPausedUntilMs = nowMs() + CONNECTION_LIMIT_PAUSE_MS;
          setTimeout(onChange, CONNECTION_LIMIT_PAUSE_MS + 1);
        }
        if (error.reason === 'busy') pausedUntilMs = nowMs() + BUSY_PAUSE_MS;
        if (['refused', 'silent', 'misrouted'].includes(error.reason)) {
          failedProbes += 1;
          const isCertain = error.reason !== 'silent' || failedProbes >= PROBES_UNTIL_DOWN;
          if (isCertain) setDown(true, error.reason);
        }
      }
      throw error;
    } finally {
      opening -= 1;
    }
  };

  const bestIdle = (account: string, valuesKey: string): PooledMember | undefined => {
    let best: PooledMember | undefined;
    for (const member of idle) {
      if (member.account === account) {
        if (member.valuesKey === valuesKey) return member;
        if (!best || member.valuesKey === '') best = member;
      }
    }
    return best;
  };

  const hasOpenRoom = (): boolean =>
    connections.size + opening < maxConnections && nowMs() >= openPausedUntilMs;

  /** Frees room by closing the connection of another account that was idle longest. */
  const evictIdle = (): boolean => {
    const [oldest] = [...idle].sort((a, b) => a.lastUsedAtMs - b.lastUsedAtMs);
    if (!oldest) return false;
    drop(oldest);
    return true;
  };

  const probe = async (): Promise<EndpointStatus | undefined> => {
    lastProbeAtMs = nowMs();
    let member: PooledMember | undefined;
    try {
      const account = options.controlAccount();
      const opened = await dialer.open(endpoint, account, PROBE_TIMEOUT_MS);
      member = {
        connection: opened,
        account,
        values: new Map(),
        valuesKey: '',
        prepared: new Map(),
        lastUsedAtMs: nowMs(),
        isEnded: false,
      };
      const silence = setTimeout(() => opened.close(), PROBE_TIMEOUT_MS);
      const reply = await ask(member, { kind: 'status' });
      clearTimeout(silence);
      return dialer.readStatus(reply);
    } catch (error) {
      if (error instanceof MemberLinkError && error.reason === 'connectionLimit') {
        lastReplyAtMs = nowMs();
        return undefined;
      }
      failedProbes += 1;
      const isCertain =
        error instanceof MemberLinkError && ['refused', 'misrouted'].includes(error.reason);
      if (isCertain || failedProbes >= PROBES_UNTIL_DOWN) {
        setDown(true, error instanceof MemberLinkError ? error.reason : String(error));
      }
      return undefined;
    } finally {
      member?.connection.close();
    }
  };

  const probeOnce = (): void => {
    if (isProbing) return;
    isProbing = true;
    probe().finally(() => {
      isProbing = false;
    });
  };

  return {
    endpoint: () => endpoint,
    update: (next: GroupEndpoint, connectionLimit: number): void => {
      if (next.bornAtMs !== endpoint.bornAtMs || next.address !== endpoint.address) {
        failedProbes = 0;
        setDown(false, 'started again');
      }
      endpoint = next;
      maxConnections = connectionLimit;
    },
    load: (account: string, isPrimary: boolean) => {
      const hasIdleConnection = bestIdle(account, '') !== undefined;
      return {
        id: endpoint.id,
        isPrimary,
        isLeaving: endpoint.isLeaving,
        isDown,
        underWay,
        slots: endpoint.slots,
        canConnect: hasIdleConnection || hasOpenRoom() || idle.size > 0,
        hasIdleConnection,
        position,
        latencyMs,
        isPausedUntilMs: pausedUntilMs,
      };
    },
    /** Whether one more statement may go there; as many as its slots and one on its way. */
    hasRoom: (): boolean => !isDown && underWay <= endpoint.slots,
    isDown: () => isDown,
    position: () => position,
    connectionCount: () => connections.size + opening,
    takeSlot: (): void => {
      underWay += 1;
    },
    returnSlot: (): void => {
      underWay -= 1;
    },
    /** Lends a connection for an account. @throws MemberLinkError when none can be had. */
    lend: async (account: string, valuesKey: string): Promise<PooledMember> => {
      const found = bestIdle(account, valuesKey);
      if (found) {
        idle.delete(found);
        return found;
      }
      if (!hasOpenRoom() && !evictIdle()) {
        throw new MemberLinkError('connectionLimit', `no connection to ${endpoint.id} is free`);
      }
      return open(account);
    },
    giveBack: (member: PooledMember): void => {
      if (member.isEnded || isClosed || !keepsIdle || endpoint.isLeaving) {
        drop(member);
      } else {
        const kept = member;
        kept.lastUsedAtMs = nowMs();
        idle.add(member);
      }
      onChange();
    },
    drop,
    ask,
    observeLatency: (elapsedMs: number): void => {
      latencyMs += (elapsedMs - latencyMs) * LATENCY_WEIGHT;
    },
    pauseBusy: (): void => {
      pausedUntilMs = nowMs() + BUSY_PAUSE_MS;
      setTimeout(onChange, BUSY_PAUSE_MS + 1);
    },
    probe,
    /** Closes connections that are not needed, since those of a VM that dies count for seconds. */
    trim: (): void => {
      const unusedSinceMs = nowMs() - IDLE_TRIM_MS;
      [...idle]
        .sort((a, b) => a.lastUsedAtMs - b.lastUsedAtMs)
        .slice(0, Math.max(0, connections.size - Math.floor(maxConnections * KEPT_IDLE_PART)))
        .filter(({ lastUsedAtMs }) => lastUsedAtMs < unusedSinceMs)
        .forEach(drop);
    },
    /** Asks for a sign of life when an answer is overdue, or when the endpoint was down. */
    check: (): void => {
      const now = nowMs();
      const oldestMs = Math.min(...askedAt.values(), now);
      const isOverdue = now - Math.max(oldestMs, lastReplyAtMs) > SUSPECT_AFTER_MS;
      if ((isOverdue || isDown || failedProbes > 0) && now - lastProbeAtMs > PROBE_INTERVAL_MS) {
        probeOnce();
      }
    },
    dropAll,
    /** From now on connections are closed when they are given back. */
    dropIdle: (): void => {
      keepsIdle = false;
      [...idle].forEach(drop);
    },
    close: (): void => {
      isClosed = true;
      dropAll();
    },
  };
};

export default createMemberPool;
