import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import freePort from '../process/freePort';
import startProcess from '../process/startProcess';
import programPath from './programPath';

interface VmOptions {
  vm: string;
  dataCentre: string;
  platformAddress: string;
  settings: Record<string, unknown>;
  ports?: VmPorts;
  isBinary?: boolean;
}

interface VmPorts {
  callerPort: number;
  vmPort: number;
  operatorPort: number;
  httpPort: number;
}

/** Starts a VM's daemon, the built program, as a process. */
const startVm = async ({
  vm,
  dataCentre,
  platformAddress,
  settings,
  ports,
  isBinary,
}: VmOptions) => {
  const usedPorts = ports ?? {
    callerPort: await freePort(),
    vmPort: await freePort(),
    operatorPort: await freePort(),
    httpPort: await freePort(),
  };
  const platform = { address: platformAddress };
  const tls = { callers: 'plain', operators: 'plain', vms: 'plain' };
  const all = { vm, dataCentre, ...usedPorts, platform, tls, ...settings };
  const file = join(mkdtempSync(join(tmpdir(), 'auburngrade-')), `${vm}.json`);
  writeFileSync(file, JSON.stringify(all));
  const child = await startProcess({
    command: isBinary ? programPath('auburngrade') : process.execPath,
    args: [...(isBinary ? [] : [programPath('auburngrade.cjs')]), 'run', '--settings', file],
    readyText: 'daemon.started',
  });
  return { ...child, vm, dataCentre, ports: usedPorts };
};

export default startVm;
