import { waitFor, type Fleet } from '@auburngrade/testkit';
import measureWindow from '../measurement/measureWindow';
import median from '../measurement/median';
import sleep from '../measurement/sleep';
import COLLECTION_SETTLE_MS from './collectionSettleMs';
import type Dimension from './dimension';
import startMeasuredFleet from './startMeasuredFleet';

/** Two relays and eight VMs that follow the first of them. */
const VMS = 10;
const FOLLOWERS = 8;
const ACCOUNTS = 8;
const WINDOW_MS = 8_000;
const MS_PER_S = 1_000;
const SPREAD_SAMPLES = 5;
const ANY_REVISION = -1;
const BODY = JSON.stringify({ limit: { ratePerS: 1_000_000, burst: 1_000_000 } });

type Operator = ReturnType<Fleet['operator']>;

const putAccount = (operator: Operator, name: string) =>
  operator.put({
    kind: 'account',
    name,
    bodyJson: BODY,
    expectedRevision: ANY_REVISION,
    changeId: '',
  });

/** Writes documents through one VM at a steady rate until stopped. */
const startChanges = (operator: Operator, ratePerS: number): (() => void) => {
  if (ratePerS === 0) return () => {};
  let number = 0;
  const timer = setInterval(() => {
    number += 1;
    putAccount(operator, `account-${number % ACCOUNTS}`).catch(() => {});
  }, MS_PER_S / ratePerS);
  return () => clearInterval(timer);
};

/** Time from the accepted change until every VM states its revision. */
const measureSpreadMs = async (fleet: Fleet, operator: Operator): Promise<number> => {
  const startedAtMs = performance.now();
  const { revision } = await putAccount(operator, 'account-spread');
  await Promise.all(
    [...fleet.vms.keys()].map((vm) =>
      waitFor(`${vm} at ${revision}`, async () => {
        const status = await fleet.statusOf(vm);
        return Number(status.revision) >= revision;
      }),
    ),
  );
  return performance.now() - startedAtMs;
};

const followersOf = async (fleet: Fleet, vm: string): Promise<number> => {
  const { configuration } = await fleet.statusOf(vm);
  return (configuration as { followers: number }).followers;
};

/** Tells the relay that all follow from VMs that nobody follows. */
const findRoles = async (fleet: Fleet): Promise<{ relay: string; leaves: string[] }> => {
  const vms = [...fleet.vms.keys()];
  const relay = await waitFor(`a VM with ${FOLLOWERS} followers`, async () => {
    const followers = await Promise.all(vms.map((vm) => followersOf(fleet, vm)));
    return vms[followers.indexOf(FOLLOWERS)];
  });
  const counts = await Promise.all(vms.map((vm) => followersOf(fleet, vm)));
  return { relay, leaves: vms.filter((_vm, index) => counts[index] === 0) };
};

/** Configuration changes a second in one data centre; operators use one of the followers. */
const changesDimension: Dimension = {
  name: 'changes',
  unit: 'change a second',
  sizes: [0, 2, 10, 40],
  measure: async (ratePerS) => {
    const { fleet } = await startMeasuredFleet({
      vms: VMS,
      dataCentres: 1,
      groups: 1,
      accounts: ACCOUNTS,
    });
    const { relay, leaves } = await findRoles(fleet);
    const [entry = '', ...followers] = leaves;
    const operator = fleet.operator(entry);
    const stop = startChanges(operator, ratePerS);
    try {
      await sleep(COLLECTION_SETTLE_MS);
      const [usage, relayed] = await Promise.all([
        measureWindow(fleet, WINDOW_MS, followers),
        measureWindow(fleet, WINDOW_MS, [relay]),
      ]);
      const spreadMs: number[] = [];
      for (let index = 0; index < SPREAD_SAMPLES; index += 1) {
        spreadMs.push(await measureSpreadMs(fleet, operator));
      }
      return {
        ...usage,
        relayCpuPercent: relayed.vmCpuPercent,
        relayResidentMb: relayed.vmResidentMb,
        relayBytesPerS: relayed.vmBytesPerS,
        spreadMs: median(spreadMs),
        spreadMsMax: Math.max(...spreadMs),
      };
    } finally {
      stop();
      operator.close();
      await fleet.stop();
    }
  },
};

export default changesDimension;
