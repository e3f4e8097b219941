import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { freePort, programPath, startFleet, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';
import commandRegistry from '../commands/commandRegistry';
import exitCodes from '../commands/exitCodes';

const run = (...words: string[]) =>
  spawnSync(programPath('auburngrade'), words, { encoding: 'utf8', timeout: 20_000 });

describe('the built binary', () => {
  describe('help', () => {
    it('names every command and leaves standard error empty', () => {
      const { stdout, stderr, status } = run('--help');
      expect(status).to.equal(exitCodes.ok);
      expect(stderr).to.equal('');
      Object.keys(commandRegistry).forEach((words) => expect(stdout).to.include(`  ${words}`));
    });

    it('of a command shows its arguments and flags', () => {
      const { stdout, stderr, status } = run('key', 'issue', '--help');
      expect([status, stderr]).to.deep.equal([exitCodes.ok, '']);
      expect(stdout).to.include('usage: auburngrade key issue ACCOUNT').and.to.include('--address');
    });
  });

  describe('version', () => {
    it('is printed', () => {
      expect(run('--version').stdout).to.match(/^auburngrade \d+\.\d+\.\d+\n$/);
    });
  });

  describe('wrong usage', () => {
    it('ends with the usage code', () => {
      expect(run('status', '--no-such-flag').status).to.equal(exitCodes.usage);
      expect(run('no-such-command').status).to.equal(exitCodes.usage);
      expect(run('status').status).to.equal(exitCodes.usage);
    });
  });

  describe('a VM that cannot be reached', () => {
    it('ends with the failure code, also with --json', () => {
      const { status, stdout } = run('status', '-a', '127.0.0.1:1', '--json');
      expect(status).to.equal(exitCodes.failure);
      expect(JSON.parse(stdout)).to.have.nested.property('error.message');
    });
  });

  describe('wrong settings', () => {
    it('are refused by the check and by the daemon', () => {
      const folder = mkdtempSync(join(tmpdir(), 'auburngrade-'));
      const file = join(folder, 'settings.json');
      writeFileSync(file, JSON.stringify({ vm: 'waco-1', colour: 'red' }));
      const checked = run('config', 'check', file);
      const started = run('run', '--settings', file);
      rmSync(folder, { recursive: true });
      expect([checked.status, started.status]).to.deep.equal([
        exitCodes.refused,
        exitCodes.refused,
      ]);
      expect(checked.stderr).to.include('colour: unknown field');
    });
  });

  describe('an operator', () => {
    let fleet: Fleet;
    let address: string;

    before(async () => {
      fleet = await startFleet({ dataCentres: ['waco'] });
      address = `127.0.0.1:${fleet.vms.get('waco-1')?.ports.operatorPort}`;
    });

    after(async () => {
      await fleet.stop();
    });

    it('writes, lists, shows and deletes a document; a wrong one is refused', async () => {
      const body = JSON.stringify({ limit: { ratePerS: 10, burst: 10 } });
      const put = run('account', 'put', 'ranch', '-a', address, '--json', '-b', body);
      expect([put.status, put.stderr]).to.deep.equal([exitCodes.ok, '']);
      expect(JSON.parse(put.stdout)).to.include({ verdict: 'ran', name: 'ranch' });
      await fleet.settle();
      expect(run('account', 'list', '-a', address).stdout).to.include('ranch');
      expect(run('account', 'show', 'ranch', '-a', address).stdout).to.include('ratePerS');
      const wrong = run('account', 'put', 'other', '-a', address, '-b', '{"limit":1}');
      expect(wrong.status).to.equal(exitCodes.refused);
      const raced = run('account', 'put', 'ranch', '-a', address, '--revision', '1', '-b', body);
      expect(raced.status).to.equal(exitCodes.refused);
      expect(run('account', 'delete', 'ranch', '-a', address).status).to.equal(exitCodes.ok);
    });

    it('starts no second daemon on a port of the first', async () => {
      const folder = mkdtempSync(join(tmpdir(), 'auburngrade-'));
      const file = join(folder, 'settings.json');
      const settings = {
        vm: 'waco-2',
        dataCentre: 'waco',
        callerPort: fleet.vms.get('waco-1')?.ports.callerPort,
        vmPort: await freePort(),
        operatorPort: await freePort(),
        httpPort: await freePort(),
        platform: { address: `127.0.0.1:${fleet.platform.port}` },
        tls: { callers: 'plain', operators: 'plain', vms: 'plain' },
      };
      writeFileSync(file, JSON.stringify(settings));
      const { status, stderr } = run('run', '--settings', file);
      rmSync(folder, { recursive: true });
      expect(status).to.equal(exitCodes.failure);
      expect(stderr).to.include('EADDRINUSE');
    });

    it('issues, lists and withdraws a key, for a known client account only', async () => {
      const stranger = run('key', 'issue', 'stranger', '-a', address, '--json');
      expect(stranger.status).to.equal(exitCodes.refused);
      const body = JSON.stringify({ limit: { ratePerS: 10, burst: 10 } });
      expect(run('account', 'put', 'ranch', '-a', address, '-b', body).status).to.equal(0);
      const issued = JSON.parse(
        run('key', 'issue', 'ranch', '-a', address, '--json').stdout,
      ) as Record<'key' | 'keyId', string>;
      await fleet.settle();
      const listed = run('key', 'list', '-a', address).stdout;
      expect(listed).to.include(issued.keyId).and.not.to.include(issued.key);
      expect(run('key', 'withdraw', issued.keyId, '-a', address).status).to.equal(exitCodes.ok);
    });

    it('evacuates a data centre and restores it; a data centre without a document is in service', async () => {
      const show = () => run('data-centre', 'show', 'waco', '-a', address, '--json').stdout;
      expect(JSON.parse(show())).to.deep.include({ revision: 0, document: { state: 'inService' } });
      const evacuate = (...flags: string[]) =>
        run('data-centre', 'evacuate', 'waco', '-a', address, '--json', ...flags);
      const first = evacuate('--change-id', 'fire');
      expect(first.status, first.stderr).to.equal(exitCodes.ok);
      await fleet.settle();
      const repeated = JSON.parse(evacuate('--change-id', 'fire').stdout) as object;
      expect(repeated).to.deep.equal(JSON.parse(first.stdout));
      expect(JSON.parse(show())).to.deep.include({ document: { state: 'evacuated' } });
      expect(run('data-centre', 'list', '-a', address).stdout).to.include('evacuated');
      const restored = run('data-centre', 'restore', 'waco', '-a', address);
      expect(restored.status, restored.stderr).to.equal(exitCodes.ok);
      await fleet.settle();
      expect(JSON.parse(show())).to.deep.include({ document: { state: 'inService' } });
    });

    it('is told when no VM and no endpoint is in the data centre', () => {
      const evacuated = run('data-centre', 'evacuate', 'wacco', '-a', address);
      expect(evacuated.stdout).to.include('not defined yet: data centre wacco');
    });

    it('drains an endpoint and takes it back', async () => {
      const drain = run('endpoint', 'drain', 'auctions', 'auctions-m3', '-a', address);
      expect(drain.status, drain.stderr).to.equal(exitCodes.ok);
      await fleet.settle();
      const show = () => run('group', 'show', 'auctions', '-a', address, '--json').stdout;
      expect(show()).to.include('"leaving"');
      const member = fleet.member('auctions-m3');
      const place = ['--data-centre', member.dataCentre, '--host', '127.0.0.1'];
      const ports = ['--port', `${member.port}`, '--replication-port', `${member.replicationPort}`];
      const joined = run(
        'endpoint',
        'join',
        'auctions',
        'auctions-m3',
        '-a',
        address,
        ...place,
        ...ports,
      );
      expect(joined.status, joined.stderr).to.equal(exitCodes.ok);
      await fleet.settle();
      expect(show()).not.to.include('"leaving"');
      expect(run('endpoint', 'drain', 'auctions', 'none', '-a', address).status).to.equal(
        exitCodes.refused,
      );
    });

    it('reports service-level burn and names a VM that cannot be reached', async () => {
      await fleet.put('profile', 'bids', { accounts: ['ranch'], groups: ['auctions'] });
      const http = `127.0.0.1:${fleet.vms.get('waco-1')?.ports.httpPort}`;
      const html = join(mkdtempSync(join(tmpdir(), 'auburngrade-')), 'report.html');
      const reached = run('report', '-a', address, '--vm', http, '--html', html, '--json');
      expect(reached.status, reached.stderr).to.equal(exitCodes.ok);
      expect(JSON.parse(reached.stdout)).to.include.keys('windows', 'burning', 'unreachable');
      expect(readFileSync(html, 'utf8')).to.include('Service-level burn');
      rmSync(dirname(html), { recursive: true });
      const missing = run('report', '-a', address, '--vm', http, '--vm', '127.0.0.1:1');
      expect(missing.status).to.equal(exitCodes.failure);
      expect(missing.stdout).to.include('127.0.0.1:1');
    });

    describe('as a caller', () => {
      const upsert = (key: string) =>
        `INSERT INTO items (key, value) VALUES ('${key}', '1') ON CONFLICT (key) DO UPDATE SET value = EXCLUDED.value`;
      const query = (...words: string[]) => {
        const caller = `127.0.0.1:${fleet.vms.get('waco-1')?.ports.callerPort}`;
        const flags = ['-a', caller, '-p', 'open', '-g', 'auctions', '--json'];
        const { status, stdout } = run('query', ...words, ...flags);
        return { status, result: stdout === '' ? {} : (JSON.parse(stdout) as object) };
      };
      const valueOf = (key: string): unknown => {
        const { result } = query(`SELECT value FROM items WHERE key = '${key}'`);
        return (result as { rows?: { rows: { cells: { text: string }[] }[] } }).rows?.rows[0]
          ?.cells[0]?.text;
      };

      before(async () => {
        await fleet.put('profile', 'open', {
          openToAll: true,
          groups: ['auctions'],
          freshness: { kind: 'primary' },
        });
        await fleet.settle();
      });

      it('runs statements of a transaction together', () => {
        const ran = query('-t', '-w', upsert('lot-1'), upsert('lot-2'));
        expect(ran.status).to.equal(exitCodes.ok);
        const { steps } = ran.result as { steps: { step: string }[] };
        expect(steps.map(({ step }) => step)).to.deep.equal([
          'begin',
          upsert('lot-1'),
          upsert('lot-2'),
          'commit',
        ]);
        expect([valueOf('lot-1'), valueOf('lot-2')]).to.deep.equal(['1', '1']);
      });

      it('rolls all of them back when one fails', () => {
        const failed = query('-t', '-w', upsert('lot-3'), 'NO SUCH STATEMENT');
        expect(failed.status).to.be.oneOf([exitCodes.refused, exitCodes.failure]);
        expect(valueOf('lot-3')).to.equal(undefined);
      });

      it('refuses several statements without a transaction as wrong usage', () => {
        expect(query('SELECT 1', 'SELECT 2').status).to.equal(exitCodes.usage);
      });
    });
  });
});
