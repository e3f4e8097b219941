import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import findFreePort from './findFreePort.mjs';

const HOST = '127.0.0.1';
/** The `run` line of the deploy file. */
const COMMAND = ['node', '--max-old-space-size=220', 'target/auburngrade-vm.cjs'];

/** Runs one process of the deploy file with the settings of a small deployment. */
const startVm = async ({ name, zone, zones, platformAddress, record }) => {
  const directory = mkdtempSync(join(tmpdir(), 'auburngrade-review-'));
  const path = join(directory, 'node.conf');
  const [front, ready, internal] = [
    await findFreePort(),
    await findFreePort(),
    await findFreePort(),
  ];
  const settings = {
    NodeName: name,
    Role: 'proxy',
    MachineClass: 'edge',
    Serves: 'edge',
    Ip: HOST,
    Zone: zone,
    Region: 'r',
    ...Object.fromEntries(zones.map((zoneName) => [`Zones.${zoneName}`, 'r'])),
    'Listen.Front': `${HOST}:${front}`,
    'Listen.Ready': `${HOST}:${ready}`,
    InternalPorts: `${internal},${internal}`,
    IsFirstStart: true,
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
  const lines = Object.entries(settings).map(([field, value]) => `${field}=${value}\n`);
  writeFileSync(path, lines.join(''));
  const [command, ...parameters] = COMMAND;
  const child = spawn(command, parameters, {
    env: { PATH: process.env.PATH, HOME: process.env.HOME, AUBURNGRADE_NODE_FILE: path },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const exited = new Promise((resolve) => {
    child.on('exit', resolve);
  });
  let log = '';
  const keepLog = (chunk) => {
    log += chunk;
  };
  child.stdout.on('data', keepLog);
  child.stderr.on('data', keepLog);
  process.on('exit', () => child.kill('SIGKILL'));
  record('vm.started', { vm: name, zone });
  return {
    name,
    host: HOST,
    port: front,
    log: () => log,
    signal: (signal) => child.kill(signal),
    stop: async () => {
      child.kill('SIGKILL');
      await exited;
      rmSync(directory, { recursive: true });
    },
  };
};

export default startVm;
