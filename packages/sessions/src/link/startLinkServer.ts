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
  /** `host:port`. */
  address: string;
  run(origin: string, call: GroupCall, values: ReadonlyMap<string, string>): Promise<CallResult>;
  endTransaction(origin: string, transaction: number): void;
  /** A VM's process is gone, or its last stream is. */
  endOrigin(origin: string): void;
  onDocument(document: FleetDocument): void;
  onHello(hello: Hello): void;
  /** The heartbeat for a VM's stream, with its number; `isFirst` when nothing was sent on it before. */
  heartbeat(stream: object, receiver: string, beat: number, isFirst: boolean): Heartbeat;
}

interface Receiver {
  vm: string;
  origin: string;
  encode: ReturnType<typeof createHeartbeatEncoder>;
}

const NO_VALUES: ReadonlyMap<string, string> = new Map();

/** Serves the streams of other VMs. */
const startLinkServer = async (options: LinkServerOptions) => {
  const streams = new Map<Stream, Receiver>();
  let lastBeat = 0;
  const server = new Server({ 'grpc.max_receive_message_length': -1 });

  const sendHeartbeat = (stream: Stream, { vm, encode }: Receiver, isFirst: boolean): void => {
    const heartbeat = encode(options.heartbeat(stream, vm, lastBeat, isFirst));
    stream.write({ body: { $case: 'heartbeat', heartbeat } });
  };

  const serve = (stream: Stream): void => {
    const valuesOf = new Map<number, ReadonlyMap<string, string>>();
    let origin = '';

    const onCall = (call: GroupCall): void => {
      if (call.hasValues) {
        valuesOf.set(call.session, new Map(call.values.map(({ name, value }) => [name, value])));
      }
      const values = call.valuesVersion === 0 ? NO_VALUES : valuesOf.get(call.session);
      options.run(origin, call, values ?? NO_VALUES).then((result) => {
        if (streams.has(stream)) {
          stream.write({ body: { $case: 'result', result: { ...result, call: call.call } } });
        }
      });
    };

    const onHello = (hello: Hello): void => {
      origin = `${hello.vm}@${hello.incarnation}`;
      const receiver = { vm: hello.vm, origin, encode: createHeartbeatEncoder() };
      streams.set(stream, receiver);
      options.onHello(hello);
      sendHeartbeat(stream, receiver, true);
    };

    const onRequest = ({ body }: LinkRequest): void => {
      switch (body?.$case) {
        case 'hello':
          onHello(body.hello);
          break;
        case 'groupCall':
          onCall(body.groupCall);
          break;
        case 'endTransaction':
          options.endTransaction(origin, body.endTransaction.transaction);
          break;
        case 'endSession':
          valuesOf.delete(body.endSession.session);
          break;
        case 'document':
          options.onDocument(body.document);
          break;
        default:
      }
    };

    const close = (): void => {
      if (!streams.delete(stream)) return;
      const hasOther = [...streams.values()].some((receiver) => receiver.origin === origin);
      if (!hasOther) options.endOrigin(origin);
    };
    stream.on('data', onRequest);
    stream.on('end', () => {
      close();
      stream.end();
    });
    ['cancelled', 'error', 'close'].forEach((event) => stream.on(event, close));
  };

  const implementation: SessionLinkServer = { connect: serve };
  server.addService(SessionLinkService, implementation);
  await new Promise<void>((resolve, reject) => {
    server.bindAsync(options.address, ServerCredentials.createInsecure(), (error) =>
      error ? reject(error) : resolve(),
    );
  });

  return {
    beat: (beat: number): void => {
      lastBeat = beat;
      streams.forEach((receiver, stream) => sendHeartbeat(stream, receiver, false));
    },
    close: (): void => server.forceShutdown(),
  };
};

export default startLinkServer;
