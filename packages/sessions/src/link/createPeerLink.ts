import { credentials, type ClientDuplexStream } from '@grpc/grpc-js';
import {
  SessionLinkClient,
  type CallResult,
  type FleetDocument,
  type Heartbeat,
  type Hello,
  type LinkReply,
  type LinkRequest,
} from '../generated/auburngrade/session/v1/session';
import type EventLog from '../seams/eventLog';
import createHeartbeatDecoder from './createHeartbeatDecoder';
import LinkError from './linkError';
import type PeerLink from './peerLink';

/** A stream that receives nothing for this long, four heartbeat intervals, is reopened. */
const STREAM_TIMEOUT_MS = 1_000;
/** Time limit for the first heartbeat on a new stream. */
const FIRST_HEARTBEAT_TIMEOUT_MS = 600;
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
  nowMs(): number;
  onHeartbeat(heartbeat: Heartbeat): void;
  onDocument(document: FleetDocument): void;
}

interface PendingCall {
  resolve(result: CallResult): void;
  reject(error: LinkError): void;
}

/** Keeps a stream to another VM open and sends calls over it. Used by the fleet, one per peer. */
const createPeerLink = (options: PeerLinkOptions): PeerLink => {
  const { vm, address, log, nowMs } = options;
  const pendingCalls = new Map<number, PendingCall>();
  const sentValuesVersions = new Map<number, number>();
  let client: SessionLinkClient | undefined;
  let stream: ClientDuplexStream<LinkRequest, LinkReply> | undefined;
  let lastCallNumber = 0;
  let isUp = false;
  let openedAtMs = 0;
  let lastReceivedAtMs = 0;
  let isClosed = false;
  let reopenTimer: NodeJS.Timeout | undefined;

  const send = (body: LinkRequest['body']): void => {
    stream?.write({ body });
  };

  const closeStream = (reason: string): void => {
    const previousStream = stream;
    stream = undefined;
    if (isUp) log.warn('link.lost', { peer: vm, reason, pending: pendingCalls.size });
    isUp = false;
    sentValuesVersions.clear();
    previousStream?.cancel();
    client?.close();
    client = undefined;
    const unansweredCalls = [...pendingCalls.values()];
    pendingCalls.clear();
    unansweredCalls.forEach(({ reject }) =>
      reject(new LinkError(true, `link to VM ${vm} lost with the call unanswered: ${reason}`)),
    );
  };

  const onReply = (
    { body }: LinkReply,
    decodeHeartbeat: ReturnType<typeof createHeartbeatDecoder>,
  ): void => {
    lastReceivedAtMs = nowMs();
    if (body?.$case === 'heartbeat') {
      const heartbeat = decodeHeartbeat(body.heartbeat);
      if (!isUp) log.info('link.up', { peer: vm, incarnation: heartbeat.incarnation });
      isUp = true;
      options.onHeartbeat(heartbeat);
    } else if (body?.$case === 'result') {
      const call = pendingCalls.get(body.result.call);
      pendingCalls.delete(body.result.call);
      call?.resolve(body.result);
    } else if (body?.$case === 'document') {
      options.onDocument(body.document);
    }
  };

  const openStream = (): void => {
    if (isClosed) return;
    openedAtMs = nowMs();
    client = new SessionLinkClient(address, credentials.createInsecure(), CHANNEL_OPTIONS);
    const newStream = client.connect();
    stream = newStream;
    const decodeHeartbeat = createHeartbeatDecoder();
    const isCurrentStream = (): boolean => stream === newStream;
    const onStreamLost = (reason: string): void => {
      if (!isCurrentStream()) return;
      closeStream(reason);
      if (!isClosed) reopenTimer = setTimeout(openStream, REOPEN_DELAY_MS);
    };
    newStream.on(
      'data',
      (reply: LinkReply) => isCurrentStream() && onReply(reply, decodeHeartbeat),
    );
    newStream.on('error', (error) => onStreamLost(error.message));
    newStream.on('end', () => onStreamLost('ended'));
    send({ $case: 'hello', hello: options.self });
  };

  const checkTimer = setInterval(() => {
    if (!stream) return;
    const isStuck = isUp
      ? nowMs() - lastReceivedAtMs > STREAM_TIMEOUT_MS
      : nowMs() - openedAtMs > FIRST_HEARTBEAT_TIMEOUT_MS;
    if (!isStuck) return;
    closeStream('silent');
    openStream();
  }, STREAM_CHECK_INTERVAL_MS);
  openStream();

  return {
    isUp: () => isUp,
    call: (call, values) =>
      new Promise((resolve, reject) => {
        if (!isUp) {
          reject(new LinkError(false, `link to VM ${vm} is not up`));
          return;
        }
        lastCallNumber += 1;
        pendingCalls.set(lastCallNumber, { resolve, reject });
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
      }),
    endTransaction: (transaction) =>
      send({ $case: 'endTransaction', endTransaction: { transaction } }),
    endSession: (session) => {
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
