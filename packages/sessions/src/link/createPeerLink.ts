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

/** A stream without a heartbeat for this long is opened anew: four heartbeats. */
const SILENT_AFTER_MS = 1_000;
/** How long a new stream may take until its first heartbeat. */
const CONNECT_TIMEOUT_MS = 600;
/** Pause before a stream is opened anew. */
const REDIAL_MS = 150;
const CHECK_MS = 100;

const CHANNEL_OPTIONS = {
  'grpc.initial_reconnect_backoff_ms': 50,
  'grpc.max_reconnect_backoff_ms': 200,
  'grpc.max_receive_message_length': -1,
  // A channel that replaces a stuck one must not share its connection.
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

/** Keeps a stream to another VM open, and calls over it. */
const createPeerLink = (options: PeerLinkOptions): PeerLink => {
  const { vm, address, log, nowMs } = options;
  const pending = new Map<number, PendingCall>();
  const sentValues = new Map<number, number>();
  let client: SessionLinkClient | undefined;
  let stream: ClientDuplexStream<LinkRequest, LinkReply> | undefined;
  let lastCall = 0;
  let isUp = false;
  let openedAtMs = 0;
  let heardAtMs = 0;
  let isClosed = false;
  let redialTimer: NodeJS.Timeout | undefined;

  const send = (body: LinkRequest['body']): void => {
    stream?.write({ body });
  };

  const drop = (reason: string): void => {
    const old = stream;
    stream = undefined;
    if (isUp) log.warn('link.lost', { peer: vm, reason, pending: pending.size });
    isUp = false;
    sentValues.clear();
    old?.cancel();
    client?.close();
    client = undefined;
    const lost = [...pending.values()];
    pending.clear();
    lost.forEach(({ reject }) =>
      reject(new LinkError(true, `the link to ${vm} was lost: ${reason}`)),
    );
  };

  const onReply = (
    { body }: LinkReply,
    decode: ReturnType<typeof createHeartbeatDecoder>,
  ): void => {
    heardAtMs = nowMs();
    if (body?.$case === 'heartbeat') {
      const heartbeat = decode(body.heartbeat);
      if (!isUp) log.info('link.up', { peer: vm, incarnation: heartbeat.incarnation });
      isUp = true;
      options.onHeartbeat(heartbeat);
    } else if (body?.$case === 'result') {
      const call = pending.get(body.result.call);
      pending.delete(body.result.call);
      call?.resolve(body.result);
    } else if (body?.$case === 'document') {
      options.onDocument(body.document);
    }
  };

  const dial = (): void => {
    if (isClosed) return;
    openedAtMs = nowMs();
    client = new SessionLinkClient(address, credentials.createInsecure(), CHANNEL_OPTIONS);
    const opened = client.connect();
    stream = opened;
    const decode = createHeartbeatDecoder();
    const isCurrent = (): boolean => stream === opened;
    const lose = (reason: string): void => {
      if (!isCurrent()) return;
      drop(reason);
      if (!isClosed) redialTimer = setTimeout(dial, REDIAL_MS);
    };
    opened.on('data', (reply: LinkReply) => isCurrent() && onReply(reply, decode));
    opened.on('error', (error) => lose(error.message));
    opened.on('end', () => lose('ended'));
    send({ $case: 'hello', hello: options.self });
  };

  const check = setInterval(() => {
    if (!stream) return;
    const isStuck = isUp
      ? nowMs() - heardAtMs > SILENT_AFTER_MS
      : nowMs() - openedAtMs > CONNECT_TIMEOUT_MS;
    if (!isStuck) return;
    drop('silent');
    dial();
  }, CHECK_MS);
  dial();

  return {
    isUp: () => isUp,
    call: (call, values) =>
      new Promise((resolve, reject) => {
        if (!isUp) {
          reject(new LinkError(false, `there is no link to ${vm}`));
          return;
        }
        lastCall += 1;
        pending.set(lastCall, { resolve, reject });
        const hasValues =
          call.valuesVersion > 0 && sentValues.get(call.session) !== call.valuesVersion;
        if (hasValues) sentValues.set(call.session, call.valuesVersion);
        const groupCall = {
          ...call,
          call: lastCall,
          hasValues,
          values: hasValues ? [...values].map(([name, value]) => ({ name, value })) : [],
        };
        send({ $case: 'groupCall', groupCall });
      }),
    endTransaction: (transaction) =>
      send({ $case: 'endTransaction', endTransaction: { transaction } }),
    endSession: (session) => {
      if (sentValues.delete(session)) send({ $case: 'endSession', endSession: { session } });
    },
    sendDocument: (document) => send({ $case: 'document', document }),
    close: () => {
      isClosed = true;
      clearInterval(check);
      clearTimeout(redialTimer);
      drop('closed');
    },
  };
};

export default createPeerLink;
