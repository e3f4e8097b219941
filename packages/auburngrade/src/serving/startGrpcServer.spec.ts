import { connect, type Settings } from 'node:http2';
import { ServerCredentials } from '@grpc/grpc-js';
import { freePort } from '@auburngrade/testkit';
import { expect } from 'chai';

import startGrpcServer from './startGrpcServer';

describe('startGrpcServer', () => {
  // Guards against one connection that takes up a VM with calls under way.
  it('tells each client how many calls it may have under way', async () => {
    const port = await freePort();
    const server = await startGrpcServer(
      `127.0.0.1:${port}`,
      () => undefined,
      ServerCredentials.createInsecure(),
      { maxStreams: 7 },
    );
    const client = connect(`http://127.0.0.1:${port}`);
    const settings = await new Promise<Settings>((resolve) => {
      client.on('remoteSettings', resolve);
    });
    client.destroy();
    server.forceShutdown();
    expect(settings.maxConcurrentStreams).to.equal(7);
  });
});
