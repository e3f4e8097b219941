import { Server, ServerCredentials } from '@grpc/grpc-js';

const DEFAULT_MAX_MESSAGE_BYTES = 4_194_304;

interface GrpcServerLimits {
  /** Messages over the limit are rejected; -1 for none. */
  maxMessageBytes?: number;
  /** Calls under way on one connection; undefined for no limit. */
  maxStreams?: number;
}

/** Binds a gRPC server to which `register` adds services. */
const startGrpcServer = (
  address: string,
  register: (server: Server) => void,
  credentials: ServerCredentials = ServerCredentials.createInsecure(),
  { maxMessageBytes = DEFAULT_MAX_MESSAGE_BYTES, maxStreams }: GrpcServerLimits = {},
): Promise<Server> =>
  new Promise((resolve, reject) => {
    const server = new Server({
      'grpc.max_receive_message_length': maxMessageBytes,
      ...(maxStreams === undefined ? {} : { 'grpc.max_concurrent_streams': maxStreams }),
    });
    register(server);
    server.bindAsync(address, credentials, (error) => {
      if (error) reject(error);
      else resolve(server);
    });
  });

export default startGrpcServer;
