import { connect } from 'node:net';
import { AccessMode, Verdict, type Statement } from '@auburngrade/caller';
import { startFleet, waitFor, type Fleet } from '@auburngrade/testkit';
import { expect } from 'chai';
import fc from 'fast-check';

const SELECT = 'SELECT value FROM items WHERE key = $1';
const RAW_RUNS = 60;
const STATEMENT_RUNS = 150;

const sendRaw = (port: number, bytes: Uint8Array): Promise<void> =>
  new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1', () => {
      socket.write(bytes);
      setTimeout(() => socket.destroy(), 2);
    });
    socket.on('error', () => {});
    socket.on('close', () => resolve());
  });

const statements = fc.record<Partial<Statement>>(
  {
    profile: fc.oneof(fc.constant('bids'), fc.string()),
    group: fc.oneof(fc.constant('auctions'), fc.string()),
    accessMode: fc.constantFrom(
      AccessMode.ACCESS_MODE_UNSPECIFIED,
      AccessMode.READ,
      AccessMode.WRITE,
    ),
    sql: fc.oneof(fc.constant(SELECT), fc.string({ maxLength: 200 })),
    parameters: fc.array(fc.record({ text: fc.option(fc.string(), { nil: undefined }) }), {
      maxLength: 4,
    }),
    sessionToken: fc.oneof(fc.constant(''), fc.base64String(), fc.string()),
    requestId: fc.oneof(fc.constant(''), fc.uuid(), fc.string()),
    timeoutMs: fc.oneof(fc.integer({ min: -10, max: 300 }), fc.integer()),
  },
  { requiredKeys: [] },
);

describe('fuzzed input', () => {
  let fleet: Fleet;
  let key: string;

  before(async () => {
    fleet = await startFleet({ dataCentres: ['waco'], vmsPerDataCentre: 2 });
    await fleet.put('account', 'ranch', { limit: { ratePerS: 1_000_000, burst: 1_000_000 } });
    await fleet.put('profile', 'bids', { accounts: ['ranch'], groups: ['auctions'] });
    ({ key } = await fleet.issueKey('ranch'));
    await fleet.settle();
  });

  after(async () => {
    await fleet.stop();
  });

  const readsWell = async (): Promise<boolean> => {
    const caller = fleet.caller('waco-1', key);
    const outcome = await caller.execute({
      profile: 'bids',
      group: 'auctions',
      accessMode: AccessMode.READ,
      sql: SELECT,
      parameters: [{ text: 'bale' }],
      timeoutMs: 2_000,
    });
    caller.close();
    return outcome.verdict === Verdict.RAN;
  };

  describe('raw bytes on each port of a VM', () => {
    it('leave the VM serving', async () => {
      const ports = Object.values(fleet.vms.get('waco-1')?.ports ?? {});
      await fc.assert(
        fc.asyncProperty(
          fc.constantFrom(...ports),
          fc.uint8Array({ minLength: 1, maxLength: 512 }),
          sendRaw,
        ),
        { numRuns: RAW_RUNS },
      );
      await waitFor('a read after the raw bytes', readsWell);
    });
  });

  describe('statements with any field wrong', () => {
    it('get an outcome with a verdict, and a refusal unless they ran', async () => {
      const caller = fleet.caller('waco-1', key);
      await fc.assert(
        fc.asyncProperty(statements, async (statement) => {
          const outcome = await caller.execute(statement);
          expect(outcome.verdict).to.not.equal(Verdict.VERDICT_UNSPECIFIED);
          if (outcome.verdict === Verdict.RAN) return;
          expect(outcome.refusal?.code).to.be.a('string').and.not.equal('internal');
        }),
        { numRuns: STATEMENT_RUNS },
      );
      caller.close();
      await waitFor('a read after the statements', readsWell);
    });
  });
});
