import { Server, ServerCredentials } from '@grpc/grpc-js';

const DEFAULT_MAX_MESSAGE_BYTES = 4_194_304;

/** Binds a gRPC server to which `register` adds services; rejects messages over the limit (-1: none). */
const startGrpcServer = (
  address: string,
  register: (server: Server) => void,
  credentials: ServerCredentials = ServerCredentials.createInsecure(),
  maxMessageBytes: number = DEFAULT_MAX_MESSAGE_BYTES,
): Promise<Server> =>
  new Promise((resolve, reject) => {
    const server = new Server({ 'grpc.max_receive_message_length': maxMessageBytes });
    register(server);
    server.bindAsync(address, credentials, (error) => {
      if (error) reject(error);
      else resolve(server);
    });
  });

export default startGrpcServer;
