import {
  documentKinds,
  createNotRunError,
  type ConfigurationState,
} from '@auburngrade/coordination';
import { createPeerClient, type RemoteVm } from '@auburngrade/vm';
import type { ChannelCredentials } from '@grpc/grpc-js';
import type AddressBook from '../settings/addressBook';

/** Keeps clients of other VMs, opened on first use and replaced when an address changes. */
const createPeerRegistry = (
  configuration: ConfigurationState,
  addresses: AddressBook,
  credentials?: ChannelCredentials,
) => {
  const clients = new Map<string, { address: string; client: RemoteVm }>();

  // A silent VM is pinged until it answers, so clients of removed VMs must be closed.
  configuration.onChange((changed) => {
    changed
      .filter(({ key }) => key.startsWith(documentKinds.vm.prefix))
      .map(({ key }) => key.slice(documentKinds.vm.prefix.length))
      .filter((id) => !configuration.get('vm', id))
      .forEach((id) => {
        clients.get(id)?.client.close();
        clients.delete(id);
      });
  });

  return {
    /** @throws RefusalError `peerUnreachable` when the configuration has no document of the VM. */
    get: (id: string): RemoteVm => {
      const vmDocument = configuration.get('vm', id);
      if (!vmDocument)
        throw createNotRunError('peerUnreachable', `VM ${id} is not in the configuration`);
      const { host, port } = addresses.resolve(vmDocument.host, vmDocument.vmPort);
      const address = `${host}:${port}`;
      const existing = clients.get(id);
      if (existing?.address === address) return existing.client;
      existing?.client.close();
      const client = createPeerClient(address, credentials);
      clients.set(id, { address, client });
      return client;
    },
    /** Ids of VMs that do not answer; their clients ping them until they do. */
    silent: (): string[] =>
      [...clients].flatMap(([id, { client }]) => (client.isSilent() ? [id] : [])),
    close: (): void => clients.forEach(({ client }) => client.close()),
  };
};

export default createPeerRegistry;
