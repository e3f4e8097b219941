import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { startFleet, waitFor, type Fleet } from '@auburngrade/testkit';
import linesOfTraces from './traces/linesOfTraces';

const GROUP = 'auctions';
const FOLDER = join(import.meta.dirname, '../packages/auburngrade/src/traces');
/** Keeps a claim open for long enough to pause its promoter. */
const SLOW_PLATFORM_MS = 300;
/** One way; the promotion is then still under way when its claim is seen. */
const SLOW_MEMBER_MS = 100;
const RECOVERY_TIMEOUT_MS = 15_000;

const termOf = async (fleet: Fleet) => {
  const [vm] = fleet.vms.keys();
  const { terms } = await fleet.statusOf(vm ?? '');
  return (terms as Record<string, { term: number; state: string; primary?: string }>)[GROUP];
};

const awaitTerm = (fleet: Fleet, above: number, state: string) =>
  waitFor(
    `a term above ${above} that is ${state}`,
    async () => {
      const record = await termOf(fleet);
      return record && record.term > above && record.state === state ? record : undefined;
    },
    RECOVERY_TIMEOUT_MS,
  );

/** The traces of all VMs, also of one that died. */
const tracesOf = (vms: Fleet['vms']): [string, string][] =>
  [...vms.values()].flatMap((vm) => [...linesOfTraces(vm.output())]);

const write = (name: string, traces: [string, string][], phase: string): void => {
  const wanted = `"name":"phase","input":null,"value":"${phase}"`;
  const found = traces.find(([, text]) => text.includes(wanted));
  if (!found) throw new Error(`no trace that ends ${phase}`);
  writeFileSync(join(FOLDER, `${name}.jsonl`), found[1]);
  console.log(`${name}: ${found[0]}`);
};

const withFleet = async (work: (fleet: Fleet, vms: Fleet['vms']) => Promise<void>) => {
  const fleet = await startFleet({ hasFaultLinks: true, vmSettings: { log: { level: 'debug' } } });
  try {
    await work(fleet, new Map(fleet.vms));
  } finally {
    await fleet.stop();
  }
};

const setMemberDelay = (fleet: Fleet, delayMs: number): void =>
  fleet.names.forEach(({ vm }) =>
    fleet.members.forEach(({ name }) => fleet.link(vm, name).setDelayMs(delayMs)),
  );

/** The primary is killed: one attempt from the claim to the published record. */
const recordKilledPrimary = async (fleet: Fleet, vms: Fleet['vms']): Promise<void> => {
  const { term, primary } = await awaitTerm(fleet, 0, 'active');
  await fleet.member(primary ?? '').kill();
  await awaitTerm(fleet, term, 'active');
  write('promotionOfKilledPrimary', tracesOf(vms), 'done');
};

/** The promoter is paused after its claim, and wakes when another VM has taken over. */
const recordPausedPromoter = async (fleet: Fleet, vms: Fleet['vms']): Promise<void> => {
  const { term, primary } = await awaitTerm(fleet, 0, 'active');
  await fleet.platform.setFault('delayMs', SLOW_PLATFORM_MS);
  setMemberDelay(fleet, SLOW_MEMBER_MS);
  await fleet.member(primary ?? '').kill();
  const claimed = await awaitTerm(fleet, term, 'promoting');
  const promoter = String((claimed as { promoter?: string }).promoter).split('/')[0] ?? '';
  fleet.vms.get(promoter)?.signal('SIGSTOP');
  fleet.vms.delete(promoter);
  setMemberDelay(fleet, 0);
  await awaitTerm(fleet, claimed.term, 'active');
  vms.get(promoter)?.signal('SIGCONT');
  const own = (): [string, string][] => [...linesOfTraces(vms.get(promoter)?.output() ?? '')];
  await waitFor('the promoter to give up', async () =>
    own().some(([, text]) => text.includes('"value":"abandoned"')),
  );
  write('promotionOfPausedPromoter', own(), 'abandoned');
  await vms.get(promoter)?.stop();
};

await withFleet(recordKilledPrimary);
await withFleet(recordPausedPromoter);
