import {
  createNotRunError,
  type ConfigurationState,
  type EvacuationPhase,
} from '@auburngrade/coordination';
import type AddressBook from '../settings/addressBook';
import createGroupClient from './createGroupClient';
import type GroupClient from './groupClient';
import type PoolSettings from './poolSettings';

/** Limit for statements that still run on a replaced client when its group's document changes. */
const REPLACED_DRAIN_TIMEOUT_MS = 3_000;
const RETRY_AFTER_MS = 100;

/** Creates group clients on first use and replaces them when the group's document changes. */
const createGroupRegistry = (
  configuration: ConfigurationState,
  vm: string,
  addresses: AddressBook,
  nowMs: () => number,
  poolSettings: PoolSettings | undefined,
  mayHold: (group: string) => boolean,
  phaseOf: (dataCentre: string) => EvacuationPhase,
) => {
  const clients = new Map<string, GroupClient>();

  /** Clients by group that wait for running statements to finish; a group may have several. */
  const drainingClients = new Map<string, Set<GroupClient>>();

  let isEnded = false;

  /** Closes a group's clients; connections in use close on release or after `forceCloseAfterMs`. */
  const closeGroup = (name: string, forceCloseAfterMs?: number): void => {
    clients.get(name)?.close(forceCloseAfterMs);
    drainingClients.get(name)?.forEach((groupClient) => groupClient.close(forceCloseAfterMs));
    clients.delete(name);
  };

  const drainClient = async (
    name: string,
    groupClient: GroupClient,
    forceCloseAfterMs: number,
  ): Promise<void> => {
    const draining = drainingClients.get(name) ?? new Set();
    drainingClients.set(name, draining.add(groupClient));
    await groupClient.drain(forceCloseAfterMs);
    draining.delete(groupClient);
    if (draining.size === 0) drainingClients.delete(name);
  };

  /** Drains a group's clients: running statements may finish within `forceCloseAfterMs`. */
  const drainGroup = async (name: string, forceCloseAfterMs: number): Promise<void> => {
    const groupClient = clients.get(name);
    clients.delete(name);
    const draining = [...(drainingClients.get(name) ?? [])];
    if (groupClient) draining.push(groupClient);
    await Promise.all(draining.map((client) => drainClient(name, client, forceCloseAfterMs)));
  };

  /** @throws RefusalError `shuttingDown`, `unknownGroup`, or `noConnection` while this VM holds no slot of it. */
  const get = (name: string): GroupClient => {
    if (isEnded) throw createNotRunError('shuttingDown', 'the VM is shutting down', RETRY_AFTER_MS);
    const group = configuration.get('group', name);
    if (!group) throw createNotRunError('unknownGroup', `group ${name} does not exist`);
    if (!mayHold(name))
      throw createNotRunError('noConnection', `this VM holds no slot of group ${name}`);
    const existing = clients.get(name);
    if (existing && existing.group === group) return existing;
    const created = createGroupClient(
      name,
      group,
      configuration,
      vm,
      addresses,
      nowMs,
      poolSettings,
      () => mayHold(name) || drainingClients.has(name),
      (member) => existing?.handOverMember(member, group),
      phaseOf,
    );
    if (existing) drainClient(name, existing, REPLACED_DRAIN_TIMEOUT_MS);
    clients.set(name, created);
    return created;
  };

  return {
    get,
    /** Whether this VM may have connections to a group now. */
    mayHold: (name: string): boolean => !isEnded && mayHold(name),
    release: closeGroup,
    drainGroup,
    /** Closes what must no longer be open to evacuated data centres. */
    closeEvacuated: (): void =>
      [...clients.values(), ...[...drainingClients.values()].flatMap((set) => [...set])].forEach(
        (groupClient) => groupClient.closeEvacuated(),
      ),
    /** Refuses further use, and ends what runs or waits by closing its connections. */
    endAll: (): void => {
      isEnded = true;
      new Set([...clients.keys(), ...drainingClients.keys()]).forEach((name) =>
        drainGroup(name, 0),
      );
    },
    listClients: (): GroupClient[] => [...clients.values()],
    close: (): void => [...clients.keys()].forEach((name) => closeGroup(name)),
  };
};

export default createGroupRegistry;
