import { Server, ServerCredentials, type ServerDuplexStream } from '@grpc/grpc-js';
import {
  SessionLinkService,
  Action,
  CallResult,
  type FleetDocument,
  type FleetState,
  type GroupCall,
  type Heartbeat,
  type Hello,
  type LinkReply,
  type LinkRequest,
  type SessionLinkServer,
} from '../generated/auburngrade/session/v1/session';
import countCallBytes from '../limits/countCallBytes';
import countTextBytes from '../limits/countTextBytes';
import countValuesBytes from '../limits/countValuesBytes';
import type EventLog from '../seams/eventLog';
import sleep from '../time/sleep';
import createHeartbeatEncoder from './createHeartbeatEncoder';
import createSessionValues from './createSessionValues';

type Stream = ServerDuplexStream<LinkRequest, LinkReply>;

interface LinkServerOptions {
  /** `host:port` to listen on. */
  address: string;
  log: EventLog;
  run(origin: string, call: GroupCall, values: ReadonlyMap<string, string>): Promise<CallResult>;
  endTransaction(origin: string, transaction: number): void;
  /** Called when the last stream of a process ended. An origin is `vm@incarnation`. */
  endOrigin(origin: string): void;
  onDocument(document: FleetDocument): void;
  /** Called for each stream of a voter. */
  onHello(hello: Hello): void;
  /** The full state for observers that subscribe. */
  fleetState(): FleetState;
  /** Documents that observers need, sent when they subscribe. */
  observedDocuments(): readonly FleetDocument[];
  /** Takes up memory for a call of the account until the returned function is called; undefined without room. */
  holdCall(account: string, byteCount: number): (() => void) | undefined;
  /** The same for a result, which is always held. */
  holdResult(account: string, byteCount: number): () => void;
  /** Bytes of sessions' values that are kept for other VMs. */
  maxValuesBytes: number;
  /** Builds a heartbeat for a stream of the VM `receiver`; `isFirst` for the first on that stream. */
  heartbeat(stream: object, receiver: string, heartbeatNumber: number, isFirst: boolean): Heartbeat;
}

interface PeerStream {
  vm: string;
  origin: string;
  encodeHeartbeat: ReturnType<typeof createHeartbeatEncoder>;
}

const KEEPALIVE_INTERVAL_MS = 20_000;
/** Longer than a VM is suspended for. */
const KEEPALIVE_TIMEOUT_MS = 20_000;
/** Stands for the state of a subscriber that was sent none yet. */
const NO_STATE = '';
/** Time for calls under way to end and for the last messages to arrive before streams are cut. */
const CLOSING_TIMEOUT_MS = 350;
const CLOSING_POLL_INTERVAL_MS = 5;
/** Answers a call that came after this VM began to close. */
const NOT_RUN = CallResult.create({ isNotOwner: true });
const NO_MEMORY = CallResult.create({
  refusalCode: 'busy',
  message:
    'calls of other VMs hold too much of the memory of the VM that serves the group; retry in 200 ms',
});
/** For VMs of earlier versions, which do not know the field, this VM is not the owner. */
const NEEDS_VALUES = CallResult.create({ needsValues: true, isNotOwner: true });
const CLOSING: LinkReply = { body: { $case: 'closing', closing: {} } };
const NO_VALUES: ReadonlyMap<string, string> = new Map();

const countResultBytes = ({ rows, signature, message }: CallResult): number =>
  rows.reduce(
    (sum, row) => sum + countTextBytes(row),
    countTextBytes(signature) + countTextBytes(message),
  );

/** Serves the streams that other VMs open to this one; rejects if the address cannot be bound. */
const startLinkServer = async (options: LinkServerOptions) => {
  const peerStreams = new Map<Stream, PeerStream>();
  const observerStreams = new Map<Stream, string>();
  /** Calls under way by stream. */
  const runningCounts = new Map<Stream, number>();
  const sessionValues = createSessionValues(options.maxValuesBytes);
  let isClosing = false;
  /** Streams of subscribers, each with the state that it was last sent in full. */
  const subscribers = new Map<Stream, string>();
  let lastHeartbeatNumber = 0;
  const server = new Server({
    'grpc.max_receive_message_length': -1,
    // Ends the streams of VMs that vanished without closing them.
    'grpc.keepalive_time_ms': KEEPALIVE_INTERVAL_MS,
    'grpc.keepalive_timeout_ms': KEEPALIVE_TIMEOUT_MS,
  });

  const sendHeartbeat = (
    stream: Stream,
    { vm, encodeHeartbeat }: PeerStream,
    isFirst: boolean,
  ): void => {
    const heartbeat = encodeHeartbeat(options.heartbeat(stream, vm, lastHeartbeatNumber, isFirst));
    stream.write({ body: { $case: 'heartbeat', heartbeat } });
  };

  /** An unexpected error is answered too, else the caller would wait; a write may have run. */
  const runSafely: typeof options.run = async (origin, call, values) => {
    try {
      return await options.run(origin, call, values);
    } catch (error) {
      const isRead = call.action === Action.ACTION_READ;
      const message = 'an unexpected error occurred';
      options.log.warn('call.failed', { request: call.requestId, reason: String(error) });
      return CallResult.create({ refusalCode: isRead ? 'failed' : 'inDoubt', message });
    }
  };

  const publishState = (streams: Iterable<Stream>): void => {
    const state = options.fleetState();
    const { routes, voters, vacantDataCentres } = state;
    const fullText = JSON.stringify([routes, voters, vacantDataCentres]);
    const unchanged = { ...state, isFull: false, routes: [], voters: [], vacantDataCentres: [] };
    [...streams].forEach((stream) => {
      const fleetState = subscribers.get(stream) === fullText ? unchanged : state;
      subscribers.set(stream, fullText);
      stream.write({ body: { $case: 'fleetState', fleetState } });
    });
  };

  const sendDocument = (stream: Stream, document: FleetDocument): void => {
    stream.write({ body: { $case: 'document', document } });
  };

  const addObserver = (stream: Stream, hello: Hello, origin: string): void => {
    observerStreams.set(stream, origin);
    if (!hello.isSubscriber) {
      stream.write({ body: { $case: 'pong', pong: {} } });
      return;
    }
    subscribers.set(stream, NO_STATE);
    options.observedDocuments().forEach((document) => sendDocument(stream, document));
    publishState([stream]);
  };

  const isOpen = (stream: Stream): boolean =>
    peerStreams.has(stream) || observerStreams.has(stream);

  const sendResult = (
    stream: Stream,
    { call }: GroupCall,
    result: CallResult,
    onSent?: () => void,
  ): void => {
    stream.write({ body: { $case: 'result', result: { ...result, call } } }, onSent);
  };

  const sendClosingIfAnswered = (stream: Stream): void => {
    if (isOpen(stream) && (runningCounts.get(stream) ?? 0) === 0) stream.write(CLOSING);
  };

  const serveStream = (stream: Stream): void => {
    const streamValues = sessionValues.openStream();
    let origin = '';
    const unsentResults = new Set<() => void>();

    /** A VM that does not read leaves its results here. The stream calls back for none once it was cut. */
    const sendHeldResult = (call: GroupCall, result: CallResult): void => {
      const releaseResult = options.holdResult(call.account, countResultBytes(result));
      const onSent = (): void => {
        if (unsentResults.delete(onSent)) releaseResult();
      };
      unsentResults.add(onSent);
      sendResult(stream, call, result, onSent);
    };

    const readValues = (call: GroupCall): ReadonlyMap<string, string> | undefined => {
      if (call.hasValues) return new Map(call.values.map(({ name, value }) => [name, value]));
      return call.valuesVersion === 0
        ? NO_VALUES
        : streamValues.get(call.session, call.valuesVersion);
    };

    const onGroupCall = (call: GroupCall): void => {
      if (isClosing) {
        if (isOpen(stream)) sendResult(stream, call, NOT_RUN);
        return;
      }
      const values = readValues(call);
      if (!values) {
        if (isOpen(stream)) sendResult(stream, call, NEEDS_VALUES);
        return;
      }
      const byteCount = countCallBytes(call) + countValuesBytes(values);
      const releaseCall = options.holdCall(call.account, byteCount);
      if (!releaseCall) {
        if (isOpen(stream)) sendResult(stream, call, NO_MEMORY);
        return;
      }
      if (call.hasValues) streamValues.set(call.session, call.valuesVersion, values);
      runningCounts.set(stream, (runningCounts.get(stream) ?? 0) + 1);
      runSafely(origin, call, values).then((result) => {
        runningCounts.set(stream, (runningCounts.get(stream) ?? 1) - 1);
        releaseCall();
        if (isOpen(stream)) sendHeldResult(call, result);
        if (isClosing) sendClosingIfAnswered(stream);
      });
    };

    const onHello = (hello: Hello): void => {
      origin = `${hello.vm}@${hello.incarnation}`;
      if (isClosing) {
        stream.write(CLOSING);
        return;
      }
      if (hello.isObserver) {
        addObserver(stream, hello, origin);
        return;
      }
      const peerStream = { vm: hello.vm, origin, encodeHeartbeat: createHeartbeatEncoder() };
      peerStreams.set(stream, peerStream);
      options.onHello(hello);
      sendHeartbeat(stream, peerStream, true);
    };

    const onRequest = ({ body }: LinkRequest): void => {
      switch (body?.$case) {
        case 'hello':
          onHello(body.hello);
          break;
        case 'groupCall':
          onGroupCall(body.groupCall);
          break;
        case 'endTransaction':
          options.endTransaction(origin, body.endTransaction.transaction);
          break;
        case 'endSession':
          streamValues.delete(body.endSession.session);
          break;
        case 'document':
          options.onDocument(body.document);
          break;
        case 'ping':
          stream.write({ body: { $case: 'pong', pong: {} } });
          break;
        default:
      }
    };

    const close = (): void => {
      unsentResults.forEach((onSent) => onSent());
      streamValues.close();
      subscribers.delete(stream);
      runningCounts.delete(stream);
      const wasOpen = peerStreams.delete(stream) || observerStreams.delete(stream);
      if (!wasOpen) return;
      const origins = [...peerStreams.values()].map((peerStream) => peerStream.origin);
      const hasOtherStream = [...origins, ...observerStreams.values()].includes(origin);
      if (!hasOtherStream) options.endOrigin(origin);
    };
    stream.on('data', onRequest);
    stream.on('end', () => {
      close();
      stream.end();
    });
    ['cancelled', 'error', 'close'].forEach((event) => stream.on(event, close));
  };

  const implementation: SessionLinkServer = { connect: serveStream };
  server.addService(SessionLinkService, implementation);
  await new Promise<void>((resolve, reject) => {
    server.bindAsync(options.address, ServerCredentials.createInsecure(), (error) =>
      error ? reject(error) : resolve(),
    );
  });

  return {
    /** Bytes of sessions' values that are kept for other VMs. */
    valuesBytes: sessionValues.heldBytes,
    beat: (heartbeatNumber: number): void => {
      lastHeartbeatNumber = heartbeatNumber;
      peerStreams.forEach((peerStream, stream) => sendHeartbeat(stream, peerStream, false));
    },
    /** Sends the fleet's state to all subscribers. */
    publishState: (): void => {
      if (subscribers.size > 0) publishState(subscribers.keys());
    },
    /** Sends a document to all subscribers. */
    publishDocument: (document: FleetDocument): void =>
      subscribers.forEach((_state, stream) => sendDocument(stream, document)),
    /**
     * Runs no further call, and says so in its answer. Each stream is told of the end once its calls are answered;
     * the other VM then closes it, which shows that it has received all.
     */
    close: async (): Promise<void> => {
      isClosing = true;
      const deadlineMs = performance.now() + CLOSING_TIMEOUT_MS;
      const streams = [...peerStreams.keys(), ...observerStreams.keys()];
      streams.forEach(sendClosingIfAnswered);
      while (streams.some(isOpen) && performance.now() < deadlineMs) {
        await sleep(CLOSING_POLL_INTERVAL_MS);
      }
      server.forceShutdown();
    },
  };
};

export default startLinkServer;
