import { AccessMode, ProxyClient, Statement } from '@auburngrade/caller';
import { Metadata, credentials } from '@grpc/grpc-js';
import measureWindow from '../measurement/measureWindow';
import sleep from '../measurement/sleep';
import type Dimension from './dimension';
import startMeasuredFleet from './startMeasuredFleet';

const SETTLE_MS = 2_000;
const WINDOW_MS = 6_000;
const TIMEOUT_MS = 10_000;
const BATCH = 100;

/** Keeps grpc-js from sharing one connection between clients of the same address. */
const OWN_CONNECTION = { 'grpc.use_local_subchannel_pool': 1 };

const STATEMENT = Statement.fromPartial({
  profile: 'measured',
  group: 'group-0',
  accessMode: AccessMode.READ,
  sql: 'SELECT value FROM items WHERE key = $1',
  parameters: [{ text: 'none' }],
  timeoutMs: TIMEOUT_MS,
});

/** Opens a connection and runs one statement on it. */
const openClient = async (address: string, key: string): Promise<ProxyClient> => {
  const client = new ProxyClient(address, credentials.createInsecure(), OWN_CONNECTION);
  const metadata = new Metadata();
  metadata.set('authorization', `Bearer ${key}`);
  await new Promise<void>((resolve, reject) => {
    client.execute(STATEMENT, metadata, (error) => {
      if (error) reject(error);
      else resolve();
    });
  });
  return client;
};

/** Connections of callers, each used once and then idle, to one VM. */
const connectionsDimension: Dimension = {
  name: 'connections',
  unit: 'idle client connection',
  sizes: [0, 500, 1_000, 2_000],
  measure: async (connections) => {
    const { fleet, key } = await startMeasuredFleet({ vms: 1, groups: 1, accounts: 8 });
    const [vm = ''] = fleet.vms.keys();
    const clients: ProxyClient[] = [];
    const address = `127.0.0.1:${fleet.vms.get(vm)?.ports.callerPort}`;
    try {
      for (let opened = 0; opened < connections; opened += BATCH) {
        const batch = Array.from({ length: BATCH }, () => openClient(address, key));
        clients.push(...(await Promise.all(batch)));
      }
      await sleep(SETTLE_MS);
      return await measureWindow(fleet, WINDOW_MS);
    } finally {
      clients.forEach((client) => client.close());
      await fleet.stop();
    }
  },
};

export default connectionsDimension;
