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
  /** The heartbeat for a stream, with its number; `isFirst` when nothing was sent on it before. */
  heartbeat(stream: object, beat: number, isFirst: boolean): Heartbeat;
}

const NO_VALUES: ReadonlyMap<string, string> = new Map();

/** Serves the streams of other VMs. */
const startLinkServer = async (options: LinkServerOptions) => {
  const streams = new Map<Stream, string>();
  let lastBeat = 0;
  const server = new Server({ 'grpc.max_receive_message_length': -1 });

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

    const onRequest = ({ body }: LinkRequest): void => {
      switch (body?.$case) {
        case 'hello':
          origin = `${body.hello.vm}@${body.hello.incarnation}`;
          streams.set(stream, origin);
          options.onHello(body.hello);
          stream.write({
            body: { $case: 'heartbeat', heartbeat: options.heartbeat(stream, lastBeat, true) },
          });
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
      if (![...streams.values()].includes(origin)) options.endOrigin(origin);
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
      streams.forEach((_origin, stream) => {
        const heartbeat = options.heartbeat(stream, beat, false);
        stream.write({ body: { $case: 'heartbeat', heartbeat } });
      });
    },
    close: (): void => server.forceShutdown(),
  };
};

export default startLinkServer;
