/* global performance, process, setTimeout */
import { appendFileSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import createService from './createService.mjs';
import startPlatform from './startPlatform.mjs';
import startProxy from './startProxy.mjs';
import startVm from './startVm.mjs';

const HOST = '127.0.0.1';
const KINDS = { primary: 1_000, read_your_writes: 1_000, bounded_staleness: 2_000 };
const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Starts the platform, the members of the services and the VMs; resolves when all VMs are ready. */
const startWorld = async ({
  recordPath,
  zones,
  vmCount,
  services = ['s1'],
  tenants,
  member,
  vmFields = {},
}) => {
  const startedAt = performance.now();
  const directory = mkdtempSync(join(tmpdir(), 'auburngrade-review-'));
  writeFileSync(recordPath, '');
  let lines = [];
  const flush = () => {
    if (lines.length > 0) appendFileSync(recordPath, lines.join(''));
    lines = [];
  };
  const record = (what, fields = {}) => {
    const atS = ((performance.now() - startedAt) / 1_000).toFixed(3);
    lines.push(`${atS} ${what} ${JSON.stringify(fields)}\n`);
    if (lines.length > 500) flush();
  };
  const world = { version: 1, routes: [], tenants };
  const started = {};
  const running = [];
  for (const name of services) {
    const service = await createService({
      name,
      hosts: [HOST, HOST, HOST],
      zones,
      record,
      platform: () => started.platform,
      ...member,
    });
    running.push(service);
    for (const [kind, timeoutMs] of Object.entries(KINDS)) {
      world.routes.push({
        Name: `r-${name}-${kind}`,
        Host: `${name}-${kind}`,
        Prefix: '/',
        Kind: kind,
        TimeoutMs: timeoutMs,
        TargetLatencyMs: 400,
        Priority: 1,
        Service: name,
        MaxAttempts: 2,
        ...(kind === 'primary' ? {} : { MaxStalenessMs: 1_500 }),
        Public: false,
      });
    }
  }
  started.platform = await startPlatform({
    host: HOST,
    record,
    promote: (service, id) => running.find(({ name }) => name === service)?.promote(id) ?? false,
  });
  const putConfiguration = () =>
    started.platform.put('op/config', {
      Version: world.version,
      Routes: world.routes,
      Services: services.map((Name) => ({
        Name,
        HealthPath: '/health',
        MaxConns: member.maxConnections,
        Protocol: 'h1',
        Tls: false,
        SyncReplicas: member.syncReplicas ?? 0,
      })),
      Limits: { MaxBodyBytes: 262_144, HeaderTimeoutMs: 3_000, TxIdleMs: 3_000 },
      Tenants: world.tenants,
    });
  putConfiguration();
  running.forEach(({ register }) => register());
  const vms = [];
  const storeProxies = [];
  for (let index = 0; index < vmCount; index += 1) {
    const zone = zones[index % zones.length];
    const proxy = await startProxy({ host: HOST, target: started.platform.address });
    storeProxies.push(proxy);
    vms.push(
      await startVm({
        name: `edge-${zone}-${index + 1}`,
        ip: `127.0.1.${index + 1}`,
        zone,
        zones,
        directory,
        platformAddress: proxy.address,
        fields: vmFields,
        record,
      }),
    );
  }
  const stop = () => {
    vms.forEach((vm) => vm.stop());
    running.forEach((service) => service.close());
    storeProxies.forEach((proxy) => proxy.close());
    started.platform.close();
    flush();
    rmSync(directory, { recursive: true, force: true });
  };
  process.on('exit', () => vms.forEach((vm) => vm.stop()));
  ['SIGTERM', 'SIGINT'].forEach((signal) => process.on(signal, () => process.exit(2)));
  const untilReady = async (limitMs) => {
    const untilMs = performance.now() + limitMs;
    while (performance.now() < untilMs) {
      if ((await Promise.all(vms.map((vm) => vm.isReady()))).every(Boolean)) return true;
      await sleep(100);
    }
    return false;
  };
  return {
    record,
    vms,
    services: running,
    platform: started.platform,
    /** One for each VM, between it and the platform. */
    storeProxies,
    world,
    putConfiguration,
    untilReady,
    stop,
    elapsedS: () => (performance.now() - startedAt) / 1_000,
  };
};

export default startWorld;
