import { randomUUID } from 'node:crypto';
import { AccessMode, Verdict } from '@auburngrade/caller';
import { startFleet, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';

const UPSERT =
  'INSERT INTO items (key, value) VALUES ($1, $2) ON CONFLICT (key) DO UPDATE SET value = EXCLUDED.value';
const SELECT = 'SELECT value FROM items WHERE key = $1';

describe('whole path', () => {
  let fleet: Fleet;
  let key: string;

  before(async () => {
    fleet = await startFleet();
    await fleet.put('account', 'ranch', { limit: { ratePerS: 1_000, burst: 1_000 } });
    await fleet.put('profile', 'bids', { accounts: ['ranch'], groups: ['auctions'] });
    ({ key } = await fleet.issueKey('ranch'));
    await fleet.settle();
  });

  after(async () => {
    await fleet.stop();
  });

  describe('a write through one VM', () => {
    it('is read through every other VM with the session token', async () => {
      const writer = fleet.caller('waco-1', key);
      const common = { profile: 'bids', group: 'auctions', timeoutMs: 5_000 };
      const written = await writer.execute({
        ...common,
        accessMode: AccessMode.WRITE,
        sql: UPSERT,
        parameters: [{ text: 'bale' }, { text: '42' }],
        requestId: randomUUID(),
      });
      expect(Verdict[written.verdict], written.refusal?.message).to.equal('RAN');
      for (const vm of ['temple-1', 'bryan-1']) {
        const reader = fleet.caller(vm, key);
        const read = await reader.execute({
          ...common,
          accessMode: AccessMode.READ,
          sql: SELECT,
          parameters: [{ text: 'bale' }],
          sessionToken: written.sessionToken,
        });
        reader.close();
        expect(Verdict[read.verdict], read.refusal?.message).to.equal('RAN');
        expect(read.rows?.rows[0]?.cells[0]?.text).to.equal('42');
      }
      writer.close();
    });
  });

  describe('a caller without a known key', () => {
    it('is refused as not run', async () => {
      const stranger = fleet.caller('waco-1', 'no-such-key');
      const outcome = await stranger.execute({
        profile: 'bids',
        group: 'auctions',
        accessMode: AccessMode.READ,
        sql: SELECT,
        parameters: [{ text: 'bale' }],
        timeoutMs: 1_000,
      });
      stranger.close();
      expect(Verdict[outcome.verdict]).to.equal('NOT_RUN');
      expect(outcome.refusal?.code).to.equal('unauthenticated');
    });
  });
});
