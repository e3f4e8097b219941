import { Server, ServerCredentials, type ServerDuplexStream } from '@grpc/grpc-js';
import {
  SessionLinkService,
  type CallResult,
  type FleetDocument,
  type GroupCall,
  type Heartbeat,
  type Hello,
  type LinkReply,
  type LinkRequest,
  type SessionLinkServer,
} from '../generated/auburngrade/session/v1/session';
import createHeartbeatEncoder from './createHeartbeatEncoder';

type Stream = ServerDuplexStream<LinkRequest, LinkReply>;

interface LinkServerOptions {
  /** `host:port` to listen on. */
  address: string;
  run(origin: string, call: GroupCall, values: ReadonlyMap<string, string>): Promise<CallResult>;
  endTransaction(origin: string, transaction: number): void;
  /** Called when the last stream of a process ended. An origin is `vm@incarnation`. */
  endOrigin(origin: string): void;
  onDocument(document: FleetDocument): void;
  onHello(hello: Hello): void;
  /** Builds a heartbeat for a stream of the VM `receiver`; `isFirst` for the first on that stream. */
  heartbeat(stream: object, receiver: string, heartbeatNumber: number, isFirst: boolean): Heartbeat;
}

interface PeerStream {
  vm: string;
  origin: string;
  encodeHeartbeat: ReturnType<typeof createHeartbeatEncoder>;
}

const EMPTY_VALUES: ReadonlyMap<string, string> = new Map();

/** Serves the streams that other VMs open to this one; rejects if the address cannot be bound. */
const startLinkServer = async (options: LinkServerOptions) => {
  const peerStreams = new Map<Stream, PeerStream>();
  let lastHeartbeatNumber = 0;
  const server = new Server({ 'grpc.max_receive_message_length': -1 });

  const sendHeartbeat = (
    stream: Stream,
    { vm, encodeHeartbeat }: PeerStream,
    isFirst: boolean,
  ): void => {
    const heartbeat = encodeHeartbeat(options.heartbeat(stream, vm, lastHeartbeatNumber, isFirst));
    stream.write({ body: { $case: 'heartbeat', heartbeat } });
  };

  const serveStream = (stream: Stream): void => {
    const sessionValues = new Map<number, ReadonlyMap<string, string>>();
    let origin = '';

    const onGroupCall = (call: GroupCall): void => {
      if (call.hasValues) {
        sessionValues.set(
          call.session,
          new Map(call.values.map(({ name, value }) => [name, value])),
        );
      }
      const values = call.valuesVersion === 0 ? EMPTY_VALUES : sessionValues.get(call.session);
      options.run(origin, call, values ?? EMPTY_VALUES).then((result) => {
        if (peerStreams.has(stream)) {
          stream.write({ body: { $case: 'result', result: { ...result, call: call.call } } });
        }
      });
    };

    const onHello = (hello: Hello): void => {
      origin = `${hello.vm}@${hello.incarnation}`;
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
          sessionValues.delete(body.endSession.session);
          break;
        case 'document':
          options.onDocument(body.document);
          break;
        default:
      }
    };

    const close = (): void => {
      if (!peerStreams.delete(stream)) return;
      const hasOtherStream = [...peerStreams.values()].some(
        (peerStream) => peerStream.origin === origin,
      );
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
    beat: (heartbeatNumber: number): void => {
      lastHeartbeatNumber = heartbeatNumber;
      peerStreams.forEach((peerStream, stream) => sendHeartbeat(stream, peerStream, false));
    },
    close: (): void => server.forceShutdown(),
  };
};

export default startLinkServer;
