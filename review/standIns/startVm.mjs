import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import findFreePort from './findFreePort.mjs';
import sleep from './sleep.mjs';

const HOST = '127.0.0.1';
/** The `run` line of the deploy file. */
const COMMAND = ['node', '--max-old-space-size=220', 'target/auburngrade-vm.cjs'];

/** Runs one process of the deploy file with the settings of a small deployment. */
const startVm = async (options) => {
  const { name, zone, zones, platformAddress, record } = options;
  const regionOf = options.regionOf ?? (() => 'tx-central');
  const directory = mkdtempSync(join(tmpdir(), 'auburngrade-review-'));
  const path = join(directory, 'node.conf');
  const front = await findFreePort();
  const ready = await findFreePort();
  const internal = await findFreePort();
  options.onPort?.(internal, zone);
  const settings = {
    NodeName: name,
    Role: 'proxy',
    MachineClass: 'edge',
    Serves: 'edge',
    Ip: HOST,
    Zone: zone,
    Region: regionOf(zone),
    ...Object.fromEntries(zones.map((zoneName) => [`Zones.${zoneName}`, regionOf(zoneName)])),
    'Listen.Front': `${HOST}:${front}`,
    'Listen.Ready': `${HOST}:${ready}`,
    InternalPorts: `${internal},${internal}`,
    'Limits.CpuShare': 0.675,
    'Limits.CpuCores': 1,
    'Limits.MemoryMb': 350,
    'Limits.MaxFds': 4300,
    HeartbeatMs: 1200,
    'Bounds.GraceS': 6,
    'Bounds.DrainMs': 7000,
    'platform.Address': platformAddress,
    'platform.TtlMinMs': 1000,
    'CloudApi.Address': platformAddress,
  };
  const environment = { PATH: process.env.PATH, HOME: process.env.HOME };
  if (options.tunnel) environment.grpc_proxy = options.tunnel;
  const [command, ...parameters] = COMMAND;
  let child;
  let exited;
  let log = '';
  const keepLog = (chunk) => {
    log += chunk;
  };
  const start = (isFirstStart) => {
    const lines = Object.entries({ ...settings, IsFirstStart: isFirstStart });
    writeFileSync(path, lines.map(([field, value]) => `${field}=${value}\n`).join(''));
    child = spawn(command, parameters, {
      env: { ...environment, AUBURNGRADE_NODE_FILE: path },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const started = child;
    exited = new Promise((resolve) => {
      started.on('exit', resolve);
    });
    started.stdout.on('data', keepLog);
    started.stderr.on('data', keepLog);
    record('vm.started', { vm: name, zone });
  };
  start(true);
  process.on('exit', () => {
    child.kill('SIGKILL');
    rmSync(directory, { recursive: true, force: true });
  });
  return {
    name,
    zone,
    host: HOST,
    port: front,
    log: () => log,
    signal: (signal) => child.kill(signal),
    /** Kills the process; it starts again some time later. */
    killAndRestart: async (downMs) => {
      record('vm.killed', { vm: name });
      child.kill('SIGKILL');
      await exited;
      await sleep(downMs);
      start(false);
    },
    stop: async () => {
      child.kill('SIGKILL');
      await exited;
    },
  };
};

export default startVm;
