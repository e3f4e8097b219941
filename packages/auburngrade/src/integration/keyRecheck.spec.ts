import { randomUUID } from 'node:crypto';
import { AccessMode, TransactionBegin, Verdict } from '@auburngrade/caller';
import { chooseSlotHolders, hashText } from '@auburngrade/coordination';
import { startFleet, waitFor, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';

const ADD = 'UPDATE items SET value = value + $1 WHERE key = $2';
const GROUP = 'auctions';
const TIMEOUT_MS = 15_000;
const DATA_CENTRE = 'waco';
const SLOTS = 3;

describe('a key that is withdrawn while its statement waits for a connection', () => {
  let fleet: Fleet;
  let staying: string;

  const hasSlot = async (vm: string): Promise<boolean> =>
    ((await fleet.statusOf(vm)).slots as string[]).includes(GROUP);

  /** Until each VM has heard of all others, one that is not chosen may hold a slot. */
  const awaitSlots = async (): Promise<void> => {
    const vms = fleet.names.map(({ vm }) => ({ id: vm, hash: hashText(vm) }));
    const near = fleet.members.map(() => DATA_CENTRE);
    const chosen = chooseSlotHolders(new Map([[DATA_CENTRE, vms]]), GROUP, near, SLOTS);
    await waitFor('slots with the VMs chosen for them', async () =>
      (await Promise.all(chosen.map(hasSlot))).every(Boolean),
    );
  };

  before(async () => {
    // The least budget: each VM has one connection to the primary for statements.
    fleet = await startFleet({
      dataCentres: [DATA_CENTRE],
      vmsPerDataCentre: 4,
      connectionBudget: 18,
    });
    await fleet.put('account', 'ranch', { limit: { ratePerS: 100_000, burst: 100_000 } });
    await fleet.put('profile', 'bids', { accounts: ['ranch'], groups: [GROUP] });
    staying = (await fleet.issueKey('ranch')).key;
    await fleet.settle();
    await awaitSlots();
  });

  after(async () => {
    await fleet.stop();
  });

  const common = () => ({
    profile: 'bids',
    group: GROUP,
    accessMode: AccessMode.WRITE,
    requestId: randomUUID(),
    timeoutMs: TIMEOUT_MS,
  });

  const write = (vm: string, key: string, item: string) => {
    const caller = fleet.caller(vm, key);
    return caller
      .execute({ ...common(), sql: ADD, parameters: [{ text: '1' }, { text: item }] })
      .finally(() => caller.close());
  };

  const servedBy = async (vm: string): Promise<string> =>
    (await write(vm, staying, 'probe')).servedBy?.vm ?? '';

  /** Opens a transaction, which takes the holder's only connection. */
  const occupy = async (holder: string) => {
    const caller = fleet.caller(holder, staying);
    const stream = caller.transact();
    const begin = TransactionBegin.fromPartial(common());
    const { outcome } = await stream.step({ $case: 'begin', begin });
    expect(Verdict[outcome?.verdict ?? 0], outcome?.refusal?.message).to.equal('RAN');
    return async (): Promise<void> => {
      await stream.step({ $case: 'rollback', rollback: {} });
      stream.end();
      caller.close();
    };
  };

  const withdraw = async (keyId: string): Promise<void> => {
    const operator = fleet.operator('waco-1');
    await operator.withdrawKey({ keyId, changeId: '' });
    operator.close();
    await fleet.settle();
  };

  ['holds the pool', 'forwards'].forEach((role) => {
    it(`does not run it through a VM that ${role}`, async () => {
      const servers = new Map<string, string>();
      for (const { vm } of fleet.names) servers.set(vm, await servedBy(vm));
      const holders = [...servers.keys()].filter((vm) => servers.get(vm) === vm);
      const entry = [...servers.keys()].find(
        (vm) => holders.includes(vm) === (role === 'holds the pool'),
      );
      const { key, keyId } = await fleet.issueKey('ranch');
      await fleet.settle();
      const releases = await Promise.all(holders.map(occupy));
      const waiting = write(entry ?? '', key, role);
      await new Promise((resolve) => {
        setTimeout(resolve, 300);
      });
      await withdraw(keyId);
      await Promise.all(releases.map((release) => release()));
      const { verdict, refusal } = await waiting;
      expect(`${Verdict[verdict]} ${refusal?.code}`).to.equal('NOT_RUN unauthenticated');
      expect((await fleet.member(`${GROUP}-m1`).state()).items[role]).to.equal(undefined);
    });
  });
});
