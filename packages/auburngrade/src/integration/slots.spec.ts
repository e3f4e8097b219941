import { setTimeout as sleep } from 'node:timers/promises';
import { runLoad, startFleet, waitFor, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';

const GROUP = 'auctions';
const SLOTS = 3;
const MEMBERS = 3;
/** One connection for control and one for statements, for each slot and member. */
const BUDGET = 18;
/** All but some of those for statements; reads leave those to the primary alone. */
const IN_USE = 13;
const STATEMENT_DELAY_MS = 20;
const SAMPLE_INTERVAL_MS = 40;
/** Keeps the connections to the replicas in use. */
const RATE_PER_S = 150;
const LOAD_MS = 16_000;
const TAKE_OVER_TIMEOUT_MS = 14_000;
/** Time for the next VM to open its connections while the paused one has not closed its own. */
const STAY_PAUSED_MS = 1_500;
/** A slot that was given back needs no wait. */
const PLANNED_TIMEOUT_MS = 3_000;
/** How long the platform's list goes on naming a VM that is gone. */
const LIST_LAG_MS = 2_000;

describe('slots of a group', () => {
  let fleet: Fleet;
  let key = '';
  let mostConnections = 0;
  let mostAtMember = 0;
  let openNow = 0;
  let isSampling = true;
  let sampling = Promise.resolve();

  const sample = async (): Promise<void> => {
    while (isSampling) {
      const states = await Promise.all(fleet.members.map((member) => member.state()));
      const open = states.reduce((sum, { connections }) => sum + connections, 0);
      openNow = open;
      mostConnections = Math.max(mostConnections, open);
      mostAtMember = Math.max(mostAtMember, ...states.map(({ connections }) => connections));
      await sleep(SAMPLE_INTERVAL_MS);
    }
  };

  const isHolder = async (vm: string): Promise<boolean> => {
    const status = await fleet.statusOf(vm).catch(() => ({ slots: [] }));
    return (status.slots as string[]).includes(GROUP);
  };

  const holdersExcept = async (gone: string[]): Promise<string[]> => {
    const vms = fleet.names.map(({ vm }) => vm).filter((vm) => !gone.includes(vm));
    const flags = await Promise.all(vms.map(isHolder));
    return vms.filter((_, index) => flags[index]);
  };

  const awaitHolders = (gone: string[]): Promise<unknown> =>
    waitFor(
      `${SLOTS} holders without ${gone.join()}`,
      async () => (await holdersExcept(gone)).length === SLOTS,
      TAKE_OVER_TIMEOUT_MS,
    );

  const pickHolder = async (): Promise<string> => {
    const [holder] = await holdersExcept([]);
    if (holder === undefined) throw new Error('no holder');
    return holder;
  };

  const dataCentreOf = (vm: string): string =>
    fleet.names.find((name) => name.vm === vm)?.dataCentre ?? '';

  const listAgain = (vm: string): Promise<unknown> => {
    const { callerPort, vmPort } = fleet.vms.get(vm)?.ports ?? { callerPort: 0, vmPort: 0 };
    const entry = { dataCentre: dataCentreOf(vm), host: '127.0.0.1', callerPort, vmPort };
    return fleet.platform.setVm(vm, entry);
  };

  before(async () => {
    fleet = await startFleet({ vmsPerDataCentre: 2, connectionBudget: BUDGET });
    const unlimited = { limit: { ratePerS: 10_000, burst: 10_000 } };
    await fleet.put('account', 'ranch', unlimited);
    ({ key } = await fleet.issueKey('ranch'));
    await fleet.put('profile', 'bids', { accounts: ['ranch'], groups: [GROUP] });
    await fleet.settle();
    for (const { name } of fleet.members) {
      await fleet.member(name).tune('statementDelayMs', STATEMENT_DELAY_MS);
    }
    await awaitHolders([]);
    sampling = sample();
  });

  after(async () => {
    isSampling = false;
    await sampling;
    await fleet.stop();
  });

  /** Changes the fleet under load; all slots are held and no connection too many was open. */
  const expectWithinBudget = async (change: () => Promise<unknown>): Promise<void> => {
    const callers = fleet.names.map(({ vm }) => fleet.caller(vm, key));
    const load = runLoad({
      callers,
      ratePerS: RATE_PER_S,
      durationMs: LOAD_MS,
      profile: 'bids',
      group: GROUP,
    });
    await waitFor('connections in use', async () => openNow >= IN_USE);
    await change();
    const report = await load;
    callers.forEach((caller) => caller.close());
    await awaitHolders([]);
    const seen = JSON.stringify({
      ...report,
      latenciesMs: undefined,
      mostConnections,
      mostAtMember,
    });
    process.stderr.write(`${seen}\n`);
    expect(mostConnections, seen).to.be.within(1, BUDGET);
    expect(mostAtMember, seen).to.be.at.most(BUDGET / MEMBERS);
    expect(report.ran, seen).to.be.above(report.offered / 2);
  };

  describe('whose VM is paused and wakes up unaware', () => {
    it('is taken over without a connection too many', () =>
      expectWithinBudget(async () => {
        const vm = await pickHolder();
        fleet.vms.get(vm)?.signal('SIGSTOP');
        await fleet.platform.setVm(vm, undefined);
        await awaitHolders([vm]);
        await sleep(STAY_PAUSED_MS);
        fleet.vms.get(vm)?.signal('SIGCONT');
        await listAgain(vm);
      }));
  });

  describe('whose VM is killed, with a list that lags', () => {
    it('is taken over, and given back to the VM when it is there again', () =>
      expectWithinBudget(async () => {
        const vm = await pickHolder();
        await fleet.vms.get(vm)?.kill();
        await sleep(LIST_LAG_MS);
        await fleet.platform.setVm(vm, undefined);
        await awaitHolders([vm]);
        await fleet.start(vm, dataCentreOf(vm));
      }));
  });

  describe('whose VM is live but not listed', () => {
    it('is taken over without a connection too many', () =>
      expectWithinBudget(async () => {
        const vm = await pickHolder();
        await fleet.platform.setVm(vm, undefined);
        await awaitHolders([vm]);
        await listAgain(vm);
      }));
  });

  describe('whose VM is replaced as planned', () => {
    it('is taken by another VM at once', () =>
      expectWithinBudget(async () => {
        const vm = await pickHolder();
        await fleet.vms.get(vm)?.stop();
        const stoppedAtMs = performance.now();
        await fleet.platform.setVm(vm, undefined);
        await awaitHolders([vm]);
        expect(performance.now() - stoppedAtMs).to.be.below(PLANNED_TIMEOUT_MS);
        await fleet.start(vm, dataCentreOf(vm));
      }));
  });

  describe('whose group is deleted', () => {
    it('has no connections any more, and its VMs go on', async () => {
      const client = fleet.operator(fleet.names[0]?.vm ?? '');
      const change = await client.delete({
        kind: 'group',
        name: GROUP,
        expectedRevision: -1,
        changeId: '',
      });
      client.close();
      expect(change.verdict, change.message).to.equal('ran');
      await waitFor('no connections', async () => openNow === 0);
      await Promise.all(fleet.names.map(({ vm }) => fleet.statusOf(vm)));
    });
  });
});
