import { Server, ServerCredentials } from '@grpc/grpc-js';

/** Binds a gRPC server whose services `register` adds. */
const startGrpcServer = (
  address: string,
  register: (server: Server) => void,
  credentials: ServerCredentials = ServerCredentials.createInsecure(),
): Promise<Server> =>
  new Promise((resolve, reject) => {
    const server = new Server();
    register(server);
    server.bindAsync(address, credentials, (error) => {
      if (error) reject(error);
      else resolve(server);
    });
  });

export default startGrpcServer;
