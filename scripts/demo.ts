import { spawnSync } from 'node:child_process';
import { programPath, startFleet, waitFor } from '@auburngrade/testkit';

interface CommandResult {
  status: number | null;
  body: Record<string, unknown>;
}

const EXIT_REFUSED = 3;
const COMMAND_TIMEOUT_MS = 10_000;
const UPSERT =
  'INSERT INTO items (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = EXCLUDED.value';
const SELECT = 'SELECT value FROM items WHERE key = $1';
const CALL = ['--profile', 'bids', '--group', 'auctions', '--json'];

const verdicts: boolean[] = [];

/** Prints one step with its verdict. */
const step = (title: string, isHeld: boolean, detail: string): void => {
  verdicts.push(isHeld);
  console.log(`${isHeld ? 'holds ' : 'FAILED'}  ${title}: ${detail}`);
};

/** Runs a command of the built binary. */
const command = (...words: string[]): CommandResult => {
  const options = { encoding: 'utf8', timeout: COMMAND_TIMEOUT_MS } as const;
  const { status, stdout, stderr } = spawnSync(programPath('auburngrade'), words, options);
  if (stderr !== '') console.log(stderr.trimEnd());
  return { status, body: JSON.parse(stdout || '{}') as Record<string, unknown> };
};

const firstCell = ({ body }: CommandResult): unknown => {
  const rows = body.rows as { rows: { cells: { text: string }[] }[] } | undefined;
  return rows?.rows[0]?.cells[0]?.text;
};

const servedBy = ({ body }: CommandResult): Record<string, string> =>
  (body.servedBy ?? {}) as Record<string, string>;

const startedAtMs = performance.now();
const fleet = await startFleet({ isBinary: true });
step('three VMs, three endpoints and the platform run', fleet.vms.size === 3, 'as processes');

const addressOf = (vm: string, port: 'callerPort' | 'operatorPort'): string =>
  `127.0.0.1:${fleet.vms.get(vm)?.ports[port]}`;
const operator = ['--address', addressOf('waco-1', 'operatorPort'), '--json'];

const account = { limit: { ratePerS: 1_000, burst: 1_000 } };
const accountPut = command('account', 'put', 'ranch', ...operator, '-b', JSON.stringify(account));
step('account put', accountPut.status === 0, `verdict ${String(accountPut.body.verdict)}`);

const profile = { accounts: ['ranch'], groups: ['auctions'] };
const profilePut = command('profile', 'put', 'bids', ...operator, '-b', JSON.stringify(profile));
step('profile put', profilePut.status === 0, `verdict ${String(profilePut.body.verdict)}`);

const issued = command('key', 'issue', 'ranch', ...operator);
const key = String(issued.body.key);
step('key issue', issued.status === 0, `key id ${String(issued.body.keyId)}`);
await fleet.settle();

const query = (vm: string, usedKey: string, ...words: string[]): CommandResult =>
  command('query', '--address', addressOf(vm, 'callerPort'), '--key', usedKey, ...CALL, ...words);

const write = query('waco-1', key, '--write', UPSERT, '--parameter', 'bale', '--parameter', '42');
step('a write through waco-1', write.status === 0, `verdict ${String(write.body.verdict)}`);

const session = String(write.body.sessionToken);
const read = await waitFor('a replica serves the session', () => {
  const result = query('temple-1', key, SELECT, '--parameter', 'bale', '--session', session);
  return result.status !== 0 || servedBy(result).role === 'replica' ? result : undefined;
}).catch((): CommandResult => ({ status: null, body: {} }));
const { role, endpoint } = servedBy(read);
step(
  'a read of it through temple-1',
  firstCell(read) === '42' && role === 'replica',
  `value ${String(firstCell(read))} by ${role} ${endpoint}`,
);

const stranger = query('bryan-1', 'no-such-key', SELECT, '--parameter', 'bale');
const refusal = stranger.body.refusal as { code: string } | undefined;
step(
  'a stranger is refused',
  stranger.status === EXIT_REFUSED && stranger.body.verdict === 'NOT_RUN',
  `${String(stranger.body.verdict)} ${refusal?.code}, exit code ${stranger.status}`,
);

const exitCodes = await Promise.all([...fleet.vms.values()].map((vm) => vm.stop()));
step(
  'graceful stop',
  exitCodes.every((code) => code === 0),
  `exit codes ${exitCodes.join(', ')}`,
);

await fleet.stop();
const elapsedS = (performance.now() - startedAtMs) / 1_000;
console.log(
  `${verdicts.filter(Boolean).length} of ${verdicts.length} hold, ${elapsedS.toFixed(1)} s`,
);
process.exit(verdicts.every(Boolean) ? 0 : 1);
