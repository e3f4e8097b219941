import { createCallerClient } from '@auburngrade/caller';
import { createOperatorClient } from '@auburngrade/operator';
import createFaultProxy from '../faultProxy/createFaultProxy';
import type FaultProxy from '../faultProxy/faultProxy';
import freePort from '../process/freePort';
import waitFor from '../process/waitFor';
import type FleetOptions from './fleetOptions';
import startMember from './startMember';
import startPlatform from './startPlatform';
import startVm from './startVm';

type FleetMember = Awaited<ReturnType<typeof startMember>> & { group: string };
type FleetVm = Awaited<ReturnType<typeof startVm>>;

const HOST = '127.0.0.1';
const OPERATOR_TIMEOUT_MS = 5_000;
const ANY_REVISION = -1;
const DEFAULTS: FleetOptions = {
  dataCentres: ['waco', 'temple', 'bryan'],
  vmsPerDataCentre: 1,
  groups: ['auctions'],
  membersPerGroup: 3,
  connectionBudget: 20,
  memberConnectionLimit: 100,
  hasFaultLinks: false,
  hasReplicationLinks: false,
  betweenDataCentresDelayMs: 0,
  clientDelayMs: 0,
  replicationLagMs: 1,
  isBinary: false,
  clientCredentials: undefined,
  vmSettings: {},
};

const allocatePorts = async () => ({
  callerPort: await freePort(),
  vmPort: await freePort(),
  operatorPort: await freePort(),
  httpPort: await freePort(),
});

/** Starts the platform, database groups and VMs of a small deployment as processes. */
const startFleet = async (chosen: Partial<FleetOptions> = {}) => {
  const options = { ...DEFAULTS, ...chosen };
  const knownAddresses = new Map<string, Record<string, string>>();
  const links = new Map<string, FaultProxy>();
  const replicationLinks = new Map<string, FaultProxy>();
  const clientLinks = new Map<string, FaultProxy>();
  const members: FleetMember[] = [];
  const vms = new Map<string, FleetVm>();
  const vmPorts = new Map<string, Awaited<ReturnType<typeof allocatePorts>>>();
  const platform = await startPlatform();
  const dataCentreAt = (index: number): string =>
    options.dataCentres[index % options.dataCentres.length] ?? '';

  /** The port at which the other members reach a member's replication. */
  const replicationPortOf = async (member: {
    name: string;
    replicationPort: number;
  }): Promise<number> => {
    if (!options.hasReplicationLinks) return member.replicationPort;
    const proxy = await createFaultProxy(HOST, member.replicationPort);
    replicationLinks.set(member.name, proxy);
    return proxy.port;
  };

  const startGroup = async (group: string, groupIndex: number): Promise<void> => {
    let upstream: { host: string; port: number } | undefined;
    for (let index = 0; index < options.membersPerGroup; index += 1) {
      const started = await startMember({
        name: `${group}-m${index + 1}`,
        dataCentre: dataCentreAt(groupIndex + index),
        upstream,
        replicationLagMs: options.replicationLagMs,
        connectionLimit: options.memberConnectionLimit,
      });
      const member = { ...started, replicationPort: await replicationPortOf(started) };
      upstream ??= { host: HOST, port: member.replicationPort };
      members.push({ ...member, group });
    }
  };

  const names = options.dataCentres.flatMap((dataCentre) =>
    Array.from({ length: options.vmsPerDataCentre }, (_, index) => ({
      vm: `${dataCentre}-${index + 1}`,
      dataCentre,
    })),
  );

  const link = async (vm: string, target: string, dataCentre: string, port: number) => {
    const from = names.find((name) => name.vm === vm)?.dataCentre;
    const delayMs = dataCentre === from ? 0 : options.betweenDataCentresDelayMs;
    const proxy = await createFaultProxy(HOST, port, delayMs);
    links.set(`${vm}>${target}`, proxy);
    return `${HOST}:${proxy.port}`;
  };

  /** Puts the delay of callers before a VM; its caller port stays the same when it restarts. */
  const linkClients = async (vm: string): Promise<void> => {
    const port = vmPorts.get(vm)?.callerPort ?? 0;
    clientLinks.set(vm, await createFaultProxy(HOST, port, options.clientDelayMs));
  };

  const addressesOf = async (vm: string): Promise<Record<string, string>> => {
    const addresses: Record<string, string> = {};
    for (const { name, dataCentre, port } of members) {
      addresses[`${HOST}:${port}`] = await link(vm, name, dataCentre, port);
    }
    for (const other of names.filter((name) => name.vm !== vm)) {
      const port = vmPorts.get(other.vm)?.vmPort ?? 0;
      addresses[`${HOST}:${port}`] = await link(vm, other.vm, other.dataCentre, port);
    }
    return addresses;
  };

  const listVm = async (vm: string, dataCentre: string): Promise<void> => {
    const { callerPort, vmPort } = vmPorts.get(vm) ?? { callerPort: 0, vmPort: 0 };
    await platform.setVm(vm, { dataCentre, host: HOST, callerPort, vmPort });
  };

  /** Starts a VM, or starts it again after it died; its addresses stay the same. */
  const start = async (vm: string, dataCentre: string): Promise<FleetVm> => {
    const isKnown = links.has(`${vm}>platform`);
    const addresses = options.hasFaultLinks && !isKnown ? await addressesOf(vm) : {};
    const platformAddress =
      options.hasFaultLinks && !isKnown
        ? await link(vm, 'platform', dataCentre, platform.port)
        : `${HOST}:${links.get(`${vm}>platform`)?.port ?? platform.port}`;
    const previous = knownAddresses.get(vm) ?? addresses;
    knownAddresses.set(vm, previous);
    const started = await startVm({
      vm,
      dataCentre,
      platformAddress,
      isBinary: options.isBinary,
      settings: {
        peers: names
          .filter(
            (name, index) => names.findIndex((n) => n.dataCentre === name.dataCentre) === index,
          )
          .map((name) => `${HOST}:${vmPorts.get(name.vm)?.vmPort}`),
        ...(options.hasFaultLinks ? { addresses: previous } : {}),
        ...options.vmSettings,
      },
      ports: vmPorts.get(vm),
    });
    vms.set(vm, started);
    await listVm(vm, dataCentre);
    return started;
  };

  const operator = (vm: string) =>
    createOperatorClient(
      `${HOST}:${vmPorts.get(vm)?.operatorPort}`,
      OPERATOR_TIMEOUT_MS,
      options.clientCredentials,
    );

  const put = async (kind: string, name: string, body: unknown): Promise<void> => {
    const client = operator(names[0]?.vm ?? '');
    const bodyJson = JSON.stringify(body);
    const request = { kind, name, bodyJson, expectedRevision: ANY_REVISION, changeId: '' };
    const change = await client.put(request);
    client.close();
    if (change.verdict !== 'ran') throw new Error(`${kind} ${name}: ${change.message}`);
  };

  await Promise.all(options.groups.map(startGroup));
  for (const { vm } of names) vmPorts.set(vm, await allocatePorts());
  if (options.clientDelayMs > 0) await Promise.all(names.map(({ vm }) => linkClients(vm)));
  await Promise.all(names.map(({ vm, dataCentre }) => start(vm, dataCentre)));
  for (const group of options.groups) {
    await put('group', group, {
      connectionBudget: options.connectionBudget,
      members: members
        .filter((member) => member.group === group)
        .map(({ name, dataCentre, port, replicationPort }) => ({
          name,
          dataCentre,
          host: HOST,
          port,
          replicationPort,
        })),
    });
  }

  const statusOf = async (vm: string): Promise<Record<string, unknown>> => {
    const client = operator(vm);
    try {
      const { bodyJson } = await client.status();
      return JSON.parse(bodyJson) as Record<string, unknown>;
    } finally {
      client.close();
    }
  };

  /** Whether a balancer would send requests to the VM. */
  const isReady = async (vm: string): Promise<boolean> =>
    (await fetch(`http://${HOST}:${vmPorts.get(vm)?.httpPort}/health`)).ok;

  return {
    platform,
    members,
    vms,
    names,
    start,
    operator,
    put,
    statusOf,
    /** Issues a key for a client account. */
    issueKey: async (account: string): Promise<{ key: string; keyId: string }> => {
      const client = operator(names[0]?.vm ?? '');
      const { key, keyId } = await client.issueKey({ account, changeId: '' });
      client.close();
      return { key, keyId };
    },
    /** A caller of one VM. */
    caller: (vm: string, key?: string) => {
      const port = clientLinks.get(vm)?.port ?? vmPorts.get(vm)?.callerPort;
      return createCallerClient(`${HOST}:${port}`, key, options.clientCredentials);
    },
    /** The link from a VM to a member, a VM or `platform`. */
    link: (vm: string, target: string): FaultProxy => {
      const found = links.get(`${vm}>${target}`);
      if (!found) throw new Error(`no link ${vm}>${target}`);
      return found;
    },
    /** The link over which the other members replicate from a member. */
    replicationLink: (member: string): FaultProxy => {
      const found = replicationLinks.get(member);
      if (!found) throw new Error(`no replication link of ${member}`);
      return found;
    },
    /** Waits until every running VM is ready, knows the present revision and lists all started VMs. */
    settle: async (): Promise<void> => {
      const { revision } = await platform.counts();
      await Promise.all(
        [...vms.keys()].map((vm) =>
          waitFor(`${vm} at revision ${revision}`, async () => {
            const status = await statusOf(vm);
            const listed = status.liveVms as string[];
            return (
              (await isReady(vm)) &&
              Number(status.revision) >= (revision ?? 0) &&
              [...vms.keys()].every((other) => listed.includes(other))
            );
          }),
        ),
      );
    },
    member: (name: string): FleetMember => {
      const found = members.find((member) => member.name === name);
      if (!found) throw new Error(`no member ${name}`);
      return found;
    },
    stop: async (): Promise<void> => {
      links.forEach((proxy) => proxy.setMode('pass'));
      await Promise.all([...vms.values()].map((vm) => vm.stop()));
      await Promise.all([...members, platform].map((child) => child.kill()));
      links.forEach((proxy) => proxy.close());
      replicationLinks.forEach((proxy) => proxy.close());
      clientLinks.forEach((proxy) => proxy.close());
    },
  };
};

export default startFleet;
