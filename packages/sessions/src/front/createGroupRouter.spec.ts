import { expect } from 'chai';
import { Action, CallResult } from '../generated/auburngrade/session/v1/session';
import createGroupRouter from './createGroupRouter';
import type SessionCall from './sessionCall';
import sleep from '../time/sleep';

const createCall = (changes: Partial<SessionCall> = {}): SessionCall => ({
  group: 'lots',
  account: 'ranch',
  session: 1,
  valuesVersion: 0,
  requestId: 'q1',
  action: Action.ACTION_READ,
  text: 'READ bale',
  prepared: undefined,
  maxAgeMs: undefined,
  notBefore: undefined,
  statementTimeoutMs: 600,
  targetLatencyMs: 200,
  priority: 1,
  transaction: 0,
  opensTransaction: false,
  isReadOnly: false,
  transactionIdleMs: 300,
  ...changes,
});

const createFixture = (owner: string | undefined) => {
  const state = { owner, hasNoReachableGroup: false, isStopping: false, ran: 0 };
  const router = createGroupRouter({
    self: 'a',
    log: { info: () => undefined, warn: () => undefined },
    nowMs: () => performance.now(),
    random: Math.random,
    findServingVm: () => state.owner,
    link: () => undefined,
    runLocally: async () => {
      state.ran += 1;
      return { kind: 'complete', rows: [], signature: 's', position: undefined };
    },
    hasNoReachableGroup: () => state.hasNoReachableGroup,
    isStopping: () => state.isStopping,
    endLocalTransaction: () => undefined,
  });
  /** Runs one call; returns its outcome and duration. */
  const run = async (changes: Partial<SessionCall> = {}) => {
    const startedAtMs = performance.now();
    const result = await router.run(createCall(changes), new Map());
    return { result, tookMs: performance.now() - startedAtMs };
  };
  return { state, run };
};

describe('createGroupRouter', () => {
  it('waits for an owner as long as a change of owner takes, then refuses the statement as busy', async () => {
    const { result, tookMs } = await createFixture(undefined).run();
    expect(result).to.deep.include({ kind: 'refused', code: 'busy' });
    expect(tookMs).to.be.within(800, 1_500);
  });

  it('sends no statement that waited for an owner when the VM is about to end', async () => {
    const { state, run } = createFixture(undefined);
    const running = run();
    state.owner = 'a';
    state.isStopping = true;
    const { result, tookMs } = await running;
    expect(result).to.deep.include({ kind: 'refused', code: 'busy' });
    expect(tookMs).to.be.below(100);
    expect(state.ran).to.equal(0);
  });

  describe('when the owner gives the group away after a statement waited there for long', () => {
    /** VM a gives each statement back after `heldMs`; `nextOwner` tells who owns the group from then on. */
    const createLeavingOwner = (heldMs: number, nextOwner: () => string) => {
      const state = { owner: 'a', asked: [] as string[] };
      const unused = (): void => undefined;
      const router = createGroupRouter({
        self: 'a',
        log: { info: unused, warn: unused },
        nowMs: () => performance.now(),
        random: Math.random,
        findServingVm: () => state.owner,
        link: (vm) => ({
          isUp: () => true,
          open: unused,
          call: async () => {
            state.asked.push(vm);
            return CallResult.create({ signature: 's' });
          },
          endTransaction: unused,
          endSession: unused,
          sendDocument: unused,
          close: unused,
        }),
        runLocally: async () => {
          state.asked.push('a');
          await sleep(heldMs);
          state.owner = nextOwner();
          return { kind: 'notOwner' };
        },
        hasNoReachableGroup: () => false,
        isStopping: () => false,
        endLocalTransaction: unused,
      });
      return { state, router };
    };

    it('runs the statement at the next owner', async () => {
      const { state, router } = createLeavingOwner(950, () => 'b');
      const call = createCall({ statementTimeoutMs: 2_000 });
      expect((await router.run(call, new Map())).kind).to.equal('complete');
      expect(state.asked).to.deep.equal(['a', 'b']);
    });

    it('refuses the statement when there is no other owner', async () => {
      const { state, router } = createLeavingOwner(950, () => 'a');
      const call = createCall({ statementTimeoutMs: 2_000 });
      expect(await router.run(call, new Map())).to.deep.include({ code: 'busy' });
      expect(state.asked).to.deep.equal(['a']);
    });

    it('refuses the statement when its own time is over', async () => {
      const { state, router } = createLeavingOwner(950, () => 'b');
      const call = createCall({ statementTimeoutMs: 900 });
      expect(await router.run(call, new Map())).to.deep.include({ code: 'busy' });
      expect(state.asked).to.deep.equal(['a']);
    });
  });

  describe('on a VM that can reach no group', () => {
    it('refuses at once and tells when to retry', async () => {
      const { state, run } = createFixture('a');
      state.hasNoReachableGroup = true;
      const { result, tookMs } = await run();
      expect(result).to.deep.include({ kind: 'refused', code: 'busy' });
      expect(result)
        .to.have.property('message')
        .that.matches(/retry in \d+ ms/);
      expect(tookMs).to.be.below(100);
      expect(state.ran).to.equal(0);
    });

    it('continues an open transaction', async () => {
      const { state, run } = createFixture('a');
      await run({ transaction: 4, opensTransaction: true });
      state.hasNoReachableGroup = true;
      const { result } = await run({ transaction: 4 });
      expect(result.kind).to.equal('complete');
    });
  });
});
