import { cpSync, mkdirSync, rmSync } from 'node:fs';
import { execFileSync } from 'node:child_process';

const TARGETS = {
  caller: ['auburngrade/caller'],
  vm: ['auburngrade/vm'],
  operator: ['auburngrade/operator'],
  platform: ['etcdserverpb', 'mvccpb'],
  sessions: ['auburngrade/session'],
};

rmSync('out/generated', { recursive: true, force: true });
execFileSync('npx', ['buf', 'generate'], { stdio: 'inherit' });
for (const [name, folders] of Object.entries(TARGETS)) {
  const target = `packages/${name}/src/generated`;
  rmSync(target, { recursive: true, force: true });
  for (const folder of folders) {
    mkdirSync(`${target}/${folder}`, { recursive: true });
    cpSync(`out/generated/${folder}`, `${target}/${folder}`, { recursive: true });
  }
}
