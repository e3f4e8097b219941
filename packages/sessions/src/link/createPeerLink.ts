import { credentials, type ClientDuplexStream } from '@grpc/grpc-js';
import {
  SessionLinkClient,
  type CallResult,
  type FleetDocument,
  type FleetState,
  type GroupCall,
  type Heartbeat,
  type Hello,
  type LinkReply,
  type LinkRequest,
} from '../generated/auburngrade/session/v1/session';
import type EventLog from '../seams/eventLog';
import createHeartbeatDecoder from './createHeartbeatDecoder';
import LinkError from './linkError';
import type LinkLiveness from './linkLiveness';
import type PeerLink from './peerLink';

const REOPEN_DELAY_MS = 150;
const STREAM_CHECK_INTERVAL_MS = 100;

const CHANNEL_OPTIONS = {
  'grpc.initial_reconnect_backoff_ms': 50,
  'grpc.max_reconnect_backoff_ms': 200,
  'grpc.max_receive_message_length': -1,
  // Otherwise a channel that replaces a stuck one could share its connection.
  'grpc.use_local_subchannel_pool': 1,
  'grpc.enable_retries': 0,
};

interface PeerLinkOptions {
  vm: string;
  address: string;
  self: Hello;
  log: EventLog;
  liveness: LinkLiveness;
  nowMs(): number;
  onHeartbeat?(heartbeat: Heartbeat): void;
  onDocument?(document: FleetDocument): void;
  onFleetState?(state: FleetState): void;
}

interface PendingCall {
  call: GroupCall;
  values: ReadonlyMap<string, string>;
  /** Whether its session or transaction ended meanwhile: it is not sent again. */
  isEnded: boolean;
  resolve(result: CallResult): void;
  reject(error: LinkError): void;
}

/** Keeps a stream to another VM and sends calls over it; `liveness` decides when it is reopened. */
const createPeerLink = (options: PeerLinkOptions): PeerLink => {
  const { vm, address, liveness, log, nowMs } = options;
  const pendingCalls = new Map<number, PendingCall>();
  const sentValuesVersions = new Map<number, number>();
  let client: SessionLinkClient | undefined;
  let stream: ClientDuplexStream<LinkRequest, LinkReply> | undefined;
  let lastCallNumber = 0;
  let isUp = false;
  let openedAtMs = 0;
  let lastReceivedAtMs = 0;
  let lastUsedAtMs = nowMs();
  let pingSentAtMs: number | undefined;
  /** Calls that wait until the other VM answers a ping on a stream that was idle. */
  let heldCalls: PendingCall[] = [];
  let isClosed = false;
  let reopenTimer: NodeJS.Timeout | undefined;

  const send = (body: LinkRequest['body']): void => {
    stream?.write({ body });
  };

  /** @param isEachCallAnsweredOrNotRun Whether the other VM said that it runs no unanswered call. */
  const closeStream = (reason: string, isEachCallAnsweredOrNotRun = false): void => {
    const previousStream = stream;
    stream = undefined;
    if (isUp) log.warn('link.lost', { peer: vm, reason, pending: pendingCalls.size });
    isUp = false;
    pingSentAtMs = undefined;
    sentValuesVersions.clear();
    previousStream?.cancel();
    client?.close();
    client = undefined;
    const unansweredCalls = [...pendingCalls.values()];
    pendingCalls.clear();
    const unsentCalls = heldCalls;
    heldCalls = [];
    unansweredCalls.forEach(({ reject }) =>
      reject(
        new LinkError(
          !isEachCallAnsweredOrNotRun,
          `link to VM ${vm} lost with the call unanswered: ${reason}`,
        ),
      ),
    );
    unsentCalls.forEach(({ reject }) =>
      reject(new LinkError(false, `link to VM ${vm} lost before the call was sent: ${reason}`)),
    );
  };

  const sendPing = (): void => {
    if (pingSentAtMs !== undefined) return;
    pingSentAtMs = nowMs();
    send({ $case: 'ping', ping: {} });
  };

  const sendCall = (pending: PendingCall): void => {
    const { call, values } = pending;
    lastCallNumber += 1;
    pendingCalls.set(lastCallNumber, pending);
    const hasValues =
      call.valuesVersion > 0 && sentValuesVersions.get(call.session) !== call.valuesVersion;
    if (hasValues) sentValuesVersions.set(call.session, call.valuesVersion);
    const groupCall = {
      ...call,
      call: lastCallNumber,
      hasValues,
      values: hasValues ? [...values].map(([name, value]) => ({ name, value })) : [],
    };
    send({ $case: 'groupCall', groupCall });
  };

  const onResult = (result: CallResult): void => {
    const pending = pendingCalls.get(result.call);
    pendingCalls.delete(result.call);
    if (!pending) return;
    if (!result.needsValues) {
      pending.resolve(result);
    } else if (pending.isEnded) {
      pending.reject(new LinkError(false, 'the session or transaction was ended'));
    } else {
      sentValuesVersions.delete(pending.call.session);
      sendCall(pending);
    }
  };
  const endCalls = (isConcerned: (call: GroupCall) => boolean): void =>
    pendingCalls.forEach((pendingCall) => {
      const pending = pendingCall;
      if (isConcerned(pending.call)) pending.isEnded = true;
    });

  const onReceived = (): void => {
    lastReceivedAtMs = nowMs();
    pingSentAtMs = undefined;
    const calls = heldCalls;
    heldCalls = [];
    calls.forEach(sendCall);
  };

  const onReply = (
    { body }: LinkReply,
    decodeHeartbeat: ReturnType<typeof createHeartbeatDecoder>,
  ): void => {
    onReceived();
    if (!isUp) log.info('link.up', { peer: vm, first: body?.$case });
    isUp = true;
    if (body?.$case === 'heartbeat') {
      options.onHeartbeat?.(decodeHeartbeat(body.heartbeat));
    } else if (body?.$case === 'result') {
      onResult(body.result);
    } else if (body?.$case === 'document') {
      options.onDocument?.(body.document);
    } else if (body?.$case === 'fleetState') {
      options.onFleetState?.(body.fleetState);
    }
  };

  const openStream = (): void => {
    reopenTimer = undefined;
    if (isClosed) return;
    openedAtMs = nowMs();
    client = new SessionLinkClient(address, credentials.createInsecure(), CHANNEL_OPTIONS);
    const newStream = client.connect();
    stream = newStream;
    const decodeHeartbeat = createHeartbeatDecoder();
    const isCurrentStream = (): boolean => stream === newStream;
    const onStreamLost = (reason: string, isEachCallAnsweredOrNotRun = false): void => {
      if (!isCurrentStream()) return;
      closeStream(reason, isEachCallAnsweredOrNotRun);
      if (!isClosed && liveness.isKeptOpen) reopenTimer = setTimeout(openStream, REOPEN_DELAY_MS);
    };
    newStream.on('data', (reply: LinkReply) => {
      if (!isCurrentStream()) return;
      if (reply.body?.$case === 'closing') onStreamLost('closed by the other VM', true);
      else onReply(reply, decodeHeartbeat);
    });
    newStream.on('error', (error) => onStreamLost(error.message));
    newStream.on('end', () => onStreamLost('ended'));
    send({ $case: 'hello', hello: options.self });
  };

  const checkTimer = setInterval(() => {
    if (!stream) return;
    const now = nowMs();
    const action = liveness.check({
      isUp,
      hasUnansweredCalls: pendingCalls.size + heldCalls.length > 0,
      sinceOpenedMs: now - openedAtMs,
      sinceReceivedMs: now - lastReceivedAtMs,
      sinceUsedMs: now - lastUsedAtMs,
      sincePingMs: pingSentAtMs === undefined ? undefined : now - pingSentAtMs,
    });
    if (action === 'ping') sendPing();
    if (action !== 'close') return;
    closeStream('silent');
    if (liveness.isKeptOpen) openStream();
  }, STREAM_CHECK_INTERVAL_MS);
  openStream();

  return {
    isUp: () => isUp,
    open: () => {
      lastUsedAtMs = nowMs();
      const isTooSoon = lastUsedAtMs - openedAtMs < REOPEN_DELAY_MS;
      if (!stream && reopenTimer === undefined && !isTooSoon) openStream();
    },
    call: (call, values) =>
      new Promise((resolve, reject) => {
        if (!isUp) {
          reject(new LinkError(false, `link to VM ${vm} is not up`));
          return;
        }
        lastUsedAtMs = nowMs();
        const heldCall = { call, values, isEnded: false, resolve, reject };
        if (!liveness.needsPingBefore(lastUsedAtMs - lastReceivedAtMs)) {
          sendCall(heldCall);
          return;
        }
        heldCalls.push(heldCall);
        sendPing();
      }),
    endTransaction: (transaction) => {
      // A held call would open the transaction again after its end.
      const ended = heldCalls.filter(({ call }) => call.transaction === transaction);
      heldCalls = heldCalls.filter((held) => !ended.includes(held));
      endCalls((call) => call.transaction === transaction);
      ended.forEach(({ reject }) => reject(new LinkError(false, 'the transaction was ended')));
      send({ $case: 'endTransaction', endTransaction: { transaction } });
    },
    endSession: (session) => {
      endCalls((call) => call.session === session);
      if (sentValuesVersions.delete(session))
        send({ $case: 'endSession', endSession: { session } });
    },
    sendDocument: (document) => send({ $case: 'document', document }),
    close: () => {
      isClosed = true;
      clearInterval(checkTimer);
      clearTimeout(reopenTimer);
      closeStream('closed');
    },
  };
};

export default createPeerLink;
