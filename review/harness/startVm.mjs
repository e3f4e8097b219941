/* global fetch, process, setTimeout */
import { spawn } from 'node:child_process';
import { writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { join } from 'node:path';

/** The `run` line of the deploy file. */
const PROGRAM = ['--max-old-space-size=220', 'target/auburngrade-vm.cjs'];
const RESTART_DELAY_MS = 500;

const findFreePort = (host) =>
  new Promise((resolve) => {
    const server = createServer();
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });

/** Runs a VM as the platform does: starts it again after an end, and writes its settings file. */
const startVm = async ({ name, ip, zone, zones, directory, platformAddress, fields, record }) => {
  const [front, ready, internal] = [
    await findFreePort(ip),
    await findFreePort(ip),
    await findFreePort(ip),
  ];
  const settingsPath = join(directory, `${name}.conf`);
  const life = { isStopped: false, child: undefined, signals: 0, ownEnds: [], log: [], starts: 0 };
  const writeSettings = () => {
    const settings = {
      NodeName: name,
      Role: 'proxy',
      MachineClass: 'edge',
      Serves: 'edge',
      Ip: ip,
      Zone: zone,
      Region: 'region',
      ...Object.fromEntries(zones.map((other) => [`Zones.${other}`, 'region'])),
      'Listen.Front': `${ip}:${front}`,
      'Listen.Ready': `${ip}:${ready}`,
      InternalPorts: `${internal},${internal}`,
      IsFirstStart: life.starts === 0,
      'Limits.CpuShare': 0.675,
      'Limits.CpuCores': 1,
      'Limits.MemoryMb': 350,
      'Limits.MaxFds': 4200,
      HeartbeatMs: 1200,
      'Bounds.GraceS': 6,
      'Bounds.StabilityWindowMs': 4000,
      'Bounds.DrainMs': 7000,
      'Bounds.ConfigApplyMs': 3000,
      'platform.Address': platformAddress,
      'platform.form': 'kv',
      'platform.WritesPerS': 400,
      'platform.ReadsPerS': 2000,
      'platform.HistoryS': 20,
      'platform.ValueBytes': 1048576,
      'platform.TtlMinMs': 1000,
      'CloudApi.Address': platformAddress,
      'CloudApi.Duties': 'failover',
      'CloudApi.DutyPerS': 50,
      ...fields,
    };
    const lines = Object.entries(settings).map(([field, value]) => `${field}=${value}\n`);
    writeFileSync(settingsPath, lines.join(''));
  };
  const start = () => {
    writeSettings();
    life.starts += 1;
    const { PATH, HOME } = process.env;
    const child = spawn(process.execPath, PROGRAM, {
      env: { PATH, HOME, AUBURNGRADE_NODE_FILE: settingsPath },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    life.child = child;
    life.signals = 0;
    child.stdout.on('data', (chunk) => life.log.push(chunk.toString()));
    child.stderr.on('data', (chunk) => life.log.push(chunk.toString()));
    child.on('exit', (code, signal) => {
      const isOwn = life.signals === 0;
      record('exit', { vm: name, pid: child.pid, code, signal, isOwn });
      if (isOwn) life.ownEnds.push({ code, signal });
      life.child = undefined;
      if (!life.isStopped) setTimeout(() => !life.isStopped && start(), RESTART_DELAY_MS);
    });
    record('start', { vm: name, pid: child.pid });
  };
  start();
  return {
    name,
    zone,
    address: `${ip}:${front}`,
    ownEnds: () => life.ownEnds,
    pid: () => life.child?.pid,
    logText: () => life.log.join(''),
    signal: (signal) => {
      life.signals += 1;
      record('signal', { vm: name, signal });
      life.child?.kill(signal);
    },
    isReady: async () => {
      try {
        return (await fetch(`http://${ip}:${ready}/auburngrade/readiness`)).status === 200;
      } catch {
        return false;
      }
    },
    stop: () => {
      life.isStopped = true;
      life.signals += 1;
      life.child?.kill('SIGKILL');
    },
  };
};

export default startVm;
