import { performance } from 'node:perf_hooks';
import createPartition from './createPartition.mjs';
import createRecord from './createRecord.mjs';
import openSession from './openSession.mjs';
import sleep from './sleep.mjs';
import startPlatform from './startPlatform.mjs';
import startService from './startService.mjs';
import startVm from './startVm.mjs';

const ZONES = ['waco', 'temple', 'bryan'];
const SERVICE = 'huvo11a';
const DATABASE = 'lepu270';
const KEY = 'u6wsjnbanfqasnmgkcuy';
const READY_TIMEOUT_MS = 30_000;
const RETRY_MS = 250;

/** A small deployment: three VMs, one service of three members, the platform, and one database. */
const startDeployment = async (options) => {
  const { recordPath, syncReplicas, commitTimeoutMs = 60_000, vmZones = ZONES } = options;
  const record = createRecord(recordPath);
  const { sideOfZone, platformZone } = options;
  const partition = sideOfZone && createPartition({ sideOfZone, record });
  const service = await startService({
    name: SERVICE,
    zones: ZONES,
    syncReplicas,
    record,
    readMs: 8,
    commitTimeoutMs,
    platformZone,
    ...partition,
  });
  const platform = await startPlatform({
    record,
    promote: (name, id) => (name === SERVICE ? service.promote(id) : 409),
  });
  platform.put('op/config', {
    Version: 7,
    Routes: [
      {
        Name: 'r-1',
        Host: DATABASE,
        Prefix: '/',
        Kind: 'primary',
        TimeoutMs: 1000,
        TargetLatencyMs: 200,
        Priority: 1,
        Service: SERVICE,
        MaxAttempts: 2,
        Public: false,
      },
    ],
    Services: [{ Name: SERVICE, MaxConns: 21, Protocol: 'h1', SyncReplicas: syncReplicas }],
    Limits: { TxIdleMs: 3000 },
    Tenants: [{ Name: 'nypu920', ApiKeys: [KEY], Priority: 1, RatePerS: 1000, Burst: 1000 }],
  });
  service.register(platform);
  const vms = [];
  const zonesByPort = new Map();
  for (const [index, zone] of vmZones.entries()) {
    const side = sideOfZone?.(zone) ?? 0;
    const isFar = partition && side !== sideOfZone(platformZone);
    const platformAddress = isFar
      ? await partition.startProxy(platform.ports[side])
      : `127.0.0.1:${platform.ports[side]}`;
    vms.push(
      await startVm({
        name: `edge-${zone}-${index + 1}`,
        zone,
        zones: ZONES,
        regionOf: options.regionOf,
        platformAddress,
        tunnel: await partition?.startTunnel(zone, (port) => zonesByPort.get(port)),
        onPort: (port) => zonesByPort.set(port, zone),
        record,
      }),
    );
  }
  const open = (index) =>
    openSession({ vm: vms[index % vms.length], database: DATABASE, key: KEY, record });
  /** Waits until a write succeeds through each VM; resolves with whether it did. */
  const awaitService = async () => {
    const untilMs = performance.now() + READY_TIMEOUT_MS;
    let attempt = 0;
    for (const index of vms.keys()) {
      let isServed = false;
      while (!isServed && performance.now() < untilMs) {
        const session = await open(index);
        attempt += 1;
        const answer = await session?.query(`a${attempt}`, `WRITE start${index} v${attempt}`);
        session?.close();
        isServed = answer?.kind === 'complete';
        if (!isServed) await sleep(RETRY_MS);
      }
      if (!isServed) return false;
    }
    return true;
  };
  return {
    record,
    partition,
    service,
    platform,
    vms,
    open,
    awaitService,
    stop: () => Promise.all(vms.map((vm) => vm.stop())),
  };
};

export default startDeployment;
