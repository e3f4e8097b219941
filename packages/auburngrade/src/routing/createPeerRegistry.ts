import { documentKinds, notRun, type ConfigurationState } from '@auburngrade/coordination';
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

  // A silent VM is pinged until it answers; one that is gone for good must not be.
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
    /** VMs that do not answer; each is tried until it answers again. */
    silent: (): string[] =>
      [...clients].flatMap(([id, { client }]) => (client.isSilent() ? [id] : [])),
    close: (): void => clients.forEach(({ client }) => client.close()),
  };
};

export default createPeerRegistry;
