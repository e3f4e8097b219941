import { randomUUID } from 'node:crypto';
import { startFleet, waitFor, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';
import readAccountRate from './readAccountRate';

const IN_FORCE_MS = 6_000;
const ANY_REVISION = -1;
const accountOf = (ratePerS: number) => JSON.stringify({ limit: { ratePerS, burst: 1 } });

interface Described {
  configuration: { isRelay: boolean; source: string | null };
  revision: number;
}

describe('configuration spread', () => {
  let fleet: Fleet;

  const rateAt = (vm: string, name: string) => readAccountRate(fleet, vm, name);

  const describeVm = async (vm: string): Promise<Described> =>
    (await fleet.statusOf(vm)) as unknown as Described;

  const relays = async (vms: string[]): Promise<string[]> => {
    const described = await Promise.all(vms.map(describeVm));
    return vms.filter((_vm, index) => described[index]?.configuration.isRelay);
  };

  const awaitInForce = (vms: string[], name: string, ratePerS: number) =>
    Promise.all(
      vms.map((vm) =>
        waitFor(
          `${name} at ${ratePerS} on ${vm}`,
          async () => (await rateAt(vm, name)) === ratePerS,
          IN_FORCE_MS,
        ),
      ),
    );

  const change = async (vm: string, name: string, ratePerS: number, revision = ANY_REVISION) => {
    const client = fleet.operator(vm);
    const reply = await client.put({
      kind: 'account',
      name,
      bodyJson: accountOf(ratePerS),
      expectedRevision: revision,
      changeId: randomUUID(),
    });
    client.close();
    return reply;
  };

  before(async () => {
    fleet = await startFleet({
      dataCentres: ['waco', 'temple'],
      vmsPerDataCentre: 4,
      groups: [],
      hasFaultLinks: true,
    });
    await fleet.settle();
    await waitFor('two relays in each data centre', async () => {
      const found = await relays(fleet.names.map(({ vm }) => vm));
      return found.length === 4;
    });
  });

  after(async () => {
    await fleet.stop();
  });

  const all = (): string[] => fleet.names.map(({ vm }) => vm);
  const wacoVms = (): string[] => all().filter((vm) => vm.startsWith('waco'));

  it('keeps two watching VMs in each data centre and few watches', async () => {
    await waitFor('eight watches', async () => (await fleet.platform.counts()).watchesOpen === 8);
  });

  it('tells racing operators apart: one runs, the others get the present document', async () => {
    const { revision } = await change('waco-1', 'raced', 1);
    const replies = await Promise.all(
      all().map((vm, index) => change(vm, 'raced', 10 + index, revision)),
    );
    const winners = replies.filter(({ verdict }) => verdict === 'ran');
    expect(winners).to.have.length(1);
    const losers = replies.filter(({ verdict }) => verdict === 'notRun');
    expect(losers).to.have.length(all().length - 1);
    losers.forEach((reply) => {
      expect(reply.refusalCode).to.equal('conflict');
      expect(reply.revision).to.equal(winners[0]?.revision);
      expect(reply.message).to.contain('ratePerS');
    });
    await awaitInForce(all(), 'raced', 10 + replies.findIndex(({ verdict }) => verdict === 'ran'));
  });

  it('resolves lost answers truthfully', async () => {
    const { revision } = await change('waco-1', 'lost', 1);
    await fleet.platform.setFault('loseWriteAnswers', 1);
    const pending = Promise.all(all().map((vm, index) => change(vm, 'lost', 20 + index, revision)));
    await waitFor('a write to take effect', async () => {
      const counts = await fleet.platform.counts();
      return (counts.revision ?? 0) > revision;
    });
    await fleet.platform.setFault('loseWriteAnswers', 0);
    const replies = await pending;
    expect(replies.filter(({ verdict }) => verdict === 'ran')).to.have.length(1);
    expect(replies.filter(({ verdict }) => verdict === 'notRun')).to.have.length(all().length - 1);
    const winner = replies.findIndex(({ verdict }) => verdict === 'ran');
    await awaitInForce(all(), 'lost', 20 + winner);
  });

  it('puts a change in force everywhere with a relay paused and one killed', async () => {
    const [paused, killed] = await relays(wacoVms());
    const others = all().filter((vm) => vm !== paused && vm !== killed);
    fleet.vms.get(paused ?? '')?.signal('SIGSTOP');
    await change('temple-1', 'spread', 30);
    await awaitInForce(others, 'spread', 30);
    await fleet.vms.get(killed ?? '')?.kill();
    await change('temple-1', 'spread', 31);
    await awaitInForce(others, 'spread', 31);
    fleet.vms.get(paused ?? '')?.signal('SIGCONT');
    await awaitInForce([paused ?? ''], 'spread', 31);
    await fleet.start(killed ?? '', 'waco');
    await awaitInForce(all(), 'spread', 31);
  });

  it('starts a fresh VM while the store is down, and does not go back after the outage', async () => {
    await change('temple-1', 'outage', 40);
    await awaitInForce(all(), 'outage', 40);
    const revisionBefore = (await describeVm('temple-2')).revision;
    await fleet.platform.setFault('isDown', 1);
    await fleet.vms.get('waco-2')?.kill();
    await fleet.start('waco-2', 'waco');
    await awaitInForce(['waco-2'], 'outage', 40);
    const refused = await change('temple-1', 'outage', 41);
    expect(refused.verdict).to.equal('notRun');
    await fleet.platform.setFault('isDown', 0);
    await waitFor(
      'a change after the outage',
      async () => (await change('temple-1', 'outage', 42)).verdict === 'ran',
    );
    await awaitInForce(all(), 'outage', 42);
    expect((await describeVm('temple-2')).revision).to.be.at.least(revisionBefore);
  });

  it('reaches a data centre that is cut off from the platform', async () => {
    await waitFor('the relays to follow the platform alone', async () => {
      const described = await Promise.all((await relays(wacoVms())).map(describeVm));
      return described.every(({ configuration }) => configuration.source === null);
    });
    wacoVms().forEach((vm) => fleet.link(vm, 'platform').setMode('silent'));
    await change('temple-1', 'cut', 50);
    await awaitInForce(all(), 'cut', 50);
    wacoVms().forEach((vm) => fleet.link(vm, 'platform').setMode('pass'));
  });
});
