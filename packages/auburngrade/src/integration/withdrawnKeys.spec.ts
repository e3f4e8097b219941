import { AccessMode, Verdict } from '@auburngrade/caller';
import { startFleet, waitFor, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';

const DEAD_WITHIN_MS = 5_000;
/** Longer than any bound up to which an unconfirmed key is accepted. */
const LONG_OUTAGE_MS = 6_000;

describe('withdrawn keys', () => {
  let fleet: Fleet;
  const clients = new Map<string, ReturnType<Fleet['caller']>>();

  /** Refusal code of a request through a connection that stays open; undefined when it was authenticated. */
  const refusalAt = async (vm: string, key: string, profile = 'bids') => {
    const name = `${vm}/${key}`;
    const client = clients.get(name) ?? fleet.caller(vm, key);
    clients.set(name, client);
    const outcome = await client.execute({
      profile,
      group: 'none',
      accessMode: AccessMode.READ,
      sql: 'SELECT 1',
      timeoutMs: 1_000,
    });
    expect(Verdict[outcome.verdict]).to.equal('NOT_RUN');
    const code = outcome.refusal?.code;
    return code === 'unauthenticated' || code === 'keyNotVouched' ? code : undefined;
  };

  const all = (): string[] => fleet.names.map(({ vm }) => vm);
  const waco = (): string[] => all().filter((vm) => vm.startsWith('waco'));
  const temple = (): string[] => all().filter((vm) => vm.startsWith('temple'));

  const awaitAccepted = (vms: string[], key: string) =>
    Promise.all(
      vms.map((vm) =>
        waitFor(`${vm} accepts`, async () => (await refusalAt(vm, key)) === undefined, 6_000),
      ),
    );

  const freshKey = async (): Promise<{ key: string; keyId: string }> => {
    const issued = await waitFor('a key', async () => {
      const found = await fleet.issueKey('ranch');
      return found.key === '' ? undefined : found;
    });
    await awaitAccepted(all(), issued.key);
    return issued;
  };

  /** Withdraws through a VM; returns the time of the confirmation. */
  const withdraw = async (vm: string, keyId: string): Promise<number> => {
    const client = fleet.operator(vm);
    const change = await client.withdrawKey({ keyId, changeId: '' });
    client.close();
    expect(change.verdict, change.message).to.equal('ran');
    expect(change.message).to.contain('in force');
    return performance.now();
  };

  /** Waits until each VM refuses, and checks that each did so in time and does not accept again. */
  const awaitRefused = async (vms: string[], key: string, confirmedAtMs: number): Promise<void> => {
    await Promise.all(
      vms.map(async (vm) => {
        await waitFor(`${vm} refuses`, async () => (await refusalAt(vm, key)) !== undefined);
        expect(performance.now() - confirmedAtMs, vm).to.be.below(DEAD_WITHIN_MS);
      }),
    );
  };

  const setLinks = (vms: string[], targets: string[], mode: 'pass' | 'silent'): void => {
    vms.forEach((vm) =>
      targets
        .filter((target) => target !== vm)
        .forEach((target) => fleet.link(vm, target).setMode(mode)),
    );
  };

  before(async () => {
    fleet = await startFleet({
      dataCentres: ['waco', 'temple'],
      vmsPerDataCentre: 3,
      groups: [],
      hasFaultLinks: true,
    });
    await fleet.put('account', 'ranch', { limit: { ratePerS: 100_000, burst: 100_000 } });
    await fleet.put('profile', 'bids', { accounts: ['ranch'], groups: [] });
    await fleet.put('profile', 'open', { openToAll: true });
    await fleet.settle();
  });

  after(async () => {
    clients.forEach((client) => client.close());
    await fleet?.stop();
  });

  it('die on every VM, with one relay killed and another paused', async () => {
    const { key, keyId } = await freshKey();
    const described = await Promise.all(waco().map((vm) => fleet.statusOf(vm)));
    const [paused = '', killed = ''] = waco().filter(
      (_vm, index) => (described[index]?.configuration as { isRelay: boolean }).isRelay,
    );
    fleet.vms.get(paused)?.signal('SIGSTOP');
    await fleet.vms.get(killed)?.kill();
    const confirmedAtMs = await withdraw('temple-1', keyId);
    await awaitRefused(
      all().filter((vm) => vm !== paused && vm !== killed),
      key,
      confirmedAtMs,
    );
    await waitFor('the bound to pass', () => performance.now() - confirmedAtMs > DEAD_WITHIN_MS);
    fleet.vms.get(paused)?.signal('SIGCONT');
    expect(await refusalAt(paused, key), 'first answer after the pause').not.to.equal(undefined);
    await fleet.start(killed, 'waco');
  });

  it('die in a data centre that is cut off from everything, which goes on serving open routes', async () => {
    const { key, keyId } = await freshKey();
    setLinks(waco(), ['platform', ...temple()], 'silent');
    setLinks(temple(), waco(), 'silent');
    const confirmedAtMs = await withdraw('temple-1', keyId);
    await awaitRefused(all(), key, confirmedAtMs);
    expect(await refusalAt('waco-2', key, 'open')).to.equal(undefined);
    setLinks(waco(), ['platform', ...temple()], 'pass');
    setLinks(temple(), waco(), 'pass');
  });

  it('leave other keys in use while no VM reaches the platform, and die soon after it is back', async () => {
    const { key, keyId } = await freshKey();
    await fleet.platform.setFault('isDown', 1);
    const downAtMs = performance.now();
    const refusals = new Set<string>();
    await waitFor('a long outage', async () => {
      const codes = await Promise.all(all().map((vm) => refusalAt(vm, key)));
      codes.forEach((code) => code && refusals.add(code));
      return performance.now() - downAtMs > LONG_OUTAGE_MS;
    });
    expect([...refusals]).to.deep.equal([]);
    await fleet.platform.setFault('isDown', 0);
    await awaitRefused(all(), key, await withdraw('temple-1', keyId));
  });

  it('can not be withdrawn while the platform is down: the operator is told so, and the key stays', async () => {
    const { key, keyId } = await freshKey();
    await fleet.platform.setFault('isDown', 1);
    const client = fleet.operator('temple-1');
    const change = await client.withdrawKey({ keyId, changeId: '' });
    client.close();
    expect(change).to.include({ verdict: 'notRun', refusalCode: 'platformUnavailable' });
    await fleet.platform.setFault('isDown', 0);
    await awaitAccepted(all(), key);
  });

  it('stay dead in a data centre that was cut off, when the platform goes down before the links are back', async () => {
    const { key, keyId } = await freshKey();
    setLinks(waco(), ['platform', ...temple()], 'silent');
    setLinks(temple(), waco(), 'silent');
    await awaitRefused(all(), key, await withdraw('temple-1', keyId));
    await fleet.platform.setFault('isDown', 1);
    setLinks(waco(), ['platform', ...temple()], 'pass');
    setLinks(temple(), waco(), 'pass');
    const backAtMs = performance.now();
    const codes = new Set<string | undefined>();
    await waitFor('a long outage', async () => {
      const seen = await Promise.all(all().map((vm) => refusalAt(vm, key)));
      seen.forEach((code) => codes.add(code));
      return performance.now() - backAtMs > LONG_OUTAGE_MS;
    });
    expect([...codes]).not.to.include(undefined);
    await fleet.platform.setFault('isDown', 0);
  });

  it('stay withdrawn when the store comes back from a copy that still has them', async () => {
    const { key, keyId } = await freshKey();
    const { revision: copied = 0 } = await fleet.platform.counts();
    const confirmedAtMs = await withdraw('waco-1', keyId);
    await awaitRefused(all(), key, confirmedAtMs);
    await fleet.platform.restore(copied);
    const untilMs = performance.now() + DEAD_WITHIN_MS;
    while (performance.now() < untilMs) {
      const codes = await Promise.all(all().map((vm) => refusalAt(vm, key)));
      codes.forEach((code, index) => expect(code, all()[index]).to.not.equal(undefined));
    }
  });
});
