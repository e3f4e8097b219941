import { randomUUID } from 'node:crypto';
import { AccessMode, Verdict } from '@auburngrade/caller';
import { startFleet, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';

const UPSERT =
  'INSERT INTO items (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = EXCLUDED.value';
const SELECT = 'SELECT value FROM items WHERE key = $1';
const GROUP = 'auctions';
const ITEMS = 20;
const ROUNDS = 6;
const SHORT_TIMEOUT_MS = 60;
const LONG_TIMEOUT_MS = 8_000;
/** Most requests of the short timeout end before the answer is there. */
const SLOW_MS = 80;

describe('late and crossed answers', () => {
  let fleet: Fleet;

  before(async () => {
    fleet = await startFleet({ vmsPerDataCentre: 2, connectionBudget: 30 });
    await fleet.put('profile', 'open', { openToAll: true, groups: [GROUP] });
    await fleet.settle();
  });

  after(async () => {
    await fleet.stop();
  });

  const common = (timeoutMs: number) => ({
    profile: 'open',
    group: GROUP,
    requestId: randomUUID(),
    timeoutMs,
  });

  const valueOf = (index: number): string => `value-of-${index}-${'x'.repeat(index * 50)}`;

  it('never reach another request, through VMs that hold the pool and that forward', async () => {
    const callers = fleet.names.map(({ vm }) => fleet.caller(vm));
    const items = Array.from({ length: ITEMS }, (_, index) => index);
    for (const index of items) {
      const written = await callers[index % callers.length]!.execute({
        ...common(LONG_TIMEOUT_MS),
        accessMode: AccessMode.WRITE,
        sql: UPSERT,
        parameters: [{ text: `item-${index}` }, { text: valueOf(index) }],
      });
      expect(Verdict[written.verdict], written.refusal?.message).to.equal('RAN');
    }
    const counts = { whole: 0, late: 0 };
    const read = async (index: number, timeoutMs: number): Promise<void> => {
      const caller = callers[Math.floor(Math.random() * callers.length)]!;
      const outcome = await caller.execute({
        ...common(timeoutMs),
        accessMode: AccessMode.READ,
        sql: SELECT,
        parameters: [{ text: `item-${index}` }],
      });
      if (outcome.verdict !== Verdict.RAN) {
        counts.late += 1;
        return;
      }
      counts.whole += 1;
      const cells = outcome.rows?.rows.map((row) => row.cells.map(({ text }) => text));
      expect(cells).to.deep.equal([[valueOf(index)]]);
    };
    for (let round = 0; round < ROUNDS; round += 1) {
      const delayMs = round % 2 === 0 ? SLOW_MS : 1;
      await Promise.all(fleet.members.map((member) => member.tune('statementDelayMs', delayMs)));
      const short = items.map((index) => read(index, SHORT_TIMEOUT_MS));
      const long = items.map((index) => read(index, LONG_TIMEOUT_MS));
      await Promise.all([...short, ...long]);
    }
    callers.forEach((caller) => caller.close());
    expect(counts.late, 'requests that ended before their answer').to.be.greaterThan(0);
    expect(counts.whole, 'whole answers').to.be.greaterThan(ITEMS * ROUNDS);
  });
});
