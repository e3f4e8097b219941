import { notRun, type ConfigurationState } from '@auburngrade/coordination';
import { createPeerClient, type RemoteVm } from '@auburngrade/vm';
import type { ChannelCredentials } from '@grpc/grpc-js';
import type AddressBook from '../settings/addressBook';

/** Clients of other VMs, opened on first use and replaced when an address changes. */
const createPeerRegistry = (
  configuration: ConfigurationState,
  addresses: AddressBook,
  credentials?: ChannelCredentials,
) => {
  const clients = new Map<string, { address: string; client: RemoteVm }>();

  return {
    /** @throws RefusalError `peerUnreachable` when the VM is not listed. */
    get: (id: string): RemoteVm => {
      const listed = configuration.get('vm', id);
      if (!listed) throw notRun('peerUnreachable', `VM ${id} is not listed`);
      const { host, port } = addresses.resolve(listed.host, listed.vmPort);
      const address = `${host}:${port}`;
      const existing = clients.get(id);
      if (existing?.address === address) return existing.client;
      existing?.client.close();
      const client = createPeerClient(address, credentials);
      clients.set(id, { address, client });
      return client;
    },
    close: (): void => clients.forEach(({ client }) => client.close()),
  };
};

export default createPeerRegistry;
