import type { EvacuationPhase } from '@auburngrade/coordination';
import { expect } from 'chai';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { Action, GroupCall } from '../generated/auburngrade/session/v1/session';
import createRateLimiter from '../limits/createRateLimiter';
import type GroupEndpoint from '../seams/groupEndpoint';
import type MemberConnection from '../seams/memberConnection';
import MemberConnectionError from '../seams/memberConnectionError';
import MemberDialer from '../seams/memberDialer';
import createFakeMembers from '../standIns/createFakeMembers';
import sleep from '../time/sleep';
import type CallOutcome from './callOutcome';
import createGroupServer from './createGroupServer';

const SEEDS = 60;
const FIRST_SEED = Number(process.env.SOAK_FIRST_SEED ?? 1);
const CALLERS = 6;
const RUNS_FOR_MS = 1_200;
const DRAINS_FROM_MS = 800;
const STATEMENT_TIMEOUT_MS = 300;
/** After the server has closed all is answered at once, also what waits for an endpoint. */
const ANSWERED_AFTER_CLOSE_MS = 150;
const SLOW_OPENING_RATIO = 0.2;
const SLOW_OPENING_MS = 600;
const REPLY_DELAY_MS = 30;
const NOT_RUN_CODES: readonly string[] = ['busy', 'aborted'];

const ENDPOINTS = ['p', 'r', 's'].map((id): GroupEndpoint => ({
  id,
  group: 'lots',
  address: `${id}:1`,
  dataCentre: id === 'r' ? 'temple' : 'waco',
  slots: 3,
  isLeaving: false,
  warmupLeftMs: 0,
  isRegisteredAsPrimary: id === 'p',
  startedAtUnixMs: 1,
  sequence: 1,
}));

const createRandom = (seed: number): (() => number) => {
  const generator = xoroshiro128plus(seed);
  // eslint-disable-next-line no-bitwise -- the generator yields 32-bit integers
  return () => (generator.next() >>> 0) / 0x1_0000_0000;
};

/** Delays openings and replies. A reply that a connection's end overtakes is lost, though the command has run. */
const createSlowDialer = (
  dialer: MemberDialer,
  random: () => number,
  onSent: (requestId: string) => void,
): MemberDialer => {
  const slowDown = (connection: MemberConnection): MemberConnection => {
    let isEnded = false;
    connection.onEnd(() => {
      isEnded = true;
    });
    return {
      ...connection,
      send: (command) =>
        new Promise((resolve, reject) => {
          if (!isEnded && 'requestId' in command) onSent(command.requestId);
          connection.onEnd(() => reject(new MemberConnectionError('broken', 'ended')));
          const delayMs = random() * REPLY_DELAY_MS;
          connection
            .send(command)
            .then((reply) => setTimeout(() => resolve(reply), delayMs))
            .catch(reject);
        }),
    };
  };
  class SlowDialer extends MemberDialer {
    override canSend() {
      return true;
    }

    override async open(...parameters: Parameters<MemberDialer['open']>) {
      await sleep(random() < SLOW_OPENING_RATIO ? SLOW_OPENING_MS : random() * REPLY_DELAY_MS);
      return slowDown(await dialer.open(...parameters));
    }

    override readStatus(...parameters: Parameters<MemberDialer['readStatus']>) {
      return dialer.readStatus(...parameters);
    }
  }
  return new SlowDialer();
};

const isNotRun = (outcome: CallOutcome): boolean =>
  outcome.kind === 'notOwner' ||
  (outcome.kind === 'refused' && NOT_RUN_CODES.includes(outcome.code));

/** A group of one server under random calls, faults and ends; `finish` closes it and checks all answers. */
const createWorld = (seed: number) => {
  const random = createRandom(seed);
  const pick = <T>(entries: readonly T[]): T => entries[Math.floor(random() * entries.length)] as T;
  const members = createFakeMembers(ENDPOINTS);
  const refusals: string[] = [];
  const unanswered = new Set<string>();
  /** Writes by what their callers know of them. */
  const known = { run: new Set<string>(), notRun: new Set<string>() };
  const completed = new Set<string>();
  const inDoubt = new Set<string>();
  /** Statements in doubt of transactions whose commit was not asked for. */
  const uncommitted = new Set<string>();
  const sent = new Set<string>();
  const phases = new Map<string, EvacuationPhase>();
  let isCertain = true;
  let isOver = false;
  let lastId = 0;
  const nowMs = (): number => performance.now();
  const server = createGroupServer({
    group: 'lots',
    ownerVm: 'vm-1',
    dialer: createSlowDialer(members.dialer, random, (requestId) => sent.add(requestId)),
    failover: { promote: async () => 'rejected' },
    limiter: createRateLimiter(nowMs),
    log: {
      info: (event, fields) => {
        if (event === 'request.refused') refusals.push(String(fields?.request));
      },
      warn: () => undefined,
    },
    nowMs,
    storeEra: () => 0,
    getRecordedPrimary: () => ({ primary: '', term: 0, fence: 0 }),
    record: async () => true,
    syncReplicas: () => 0,
    evacuationPhaseOf: (dataCentre) => phases.get(dataCentre) ?? 'inService',
    canReplacePrimary: () => false,
    findTenure: () => 'owner 1',
    isAuthoritative: () => isCertain,
    isInHandoverGrace: () => true,
    controlAccount: () => 'ranch',
  });
  server.updateEndpoints(ENDPOINTS, 12);

  const run = async (sender: string, changes: Partial<GroupCall>): Promise<CallOutcome> => {
    lastId += 1;
    const requestId = `q${lastId}`;
    unanswered.add(requestId);
    const call = GroupCall.create({
      group: 'lots',
      account: pick(['ranch', 'farm']),
      requestId,
      action: Action.ACTION_READ,
      text: 'READ bale',
      statementTimeoutMs: STATEMENT_TIMEOUT_MS,
      targetLatencyMs: 100,
      transactionIdleMs: 100,
      ...changes,
    });
    const outcome = await server.run(sender, call, new Map());
    unanswered.delete(requestId);
    if (outcome.kind === 'complete') completed.add(requestId);
    else if (outcome.kind === 'refused' && outcome.code === 'inDoubt') {
      inDoubt.add(requestId);
      if (changes.transaction !== undefined && changes.action !== Action.ACTION_COMMIT)
        uncommitted.add(requestId);
    }
    return outcome;
  };
  const createWrite = (): Partial<GroupCall> & { text: string } => {
    lastId += 1;
    return { action: Action.ACTION_WRITE, text: `WRITE ${lastId}` };
  };
  const conclude = (outcome: CallOutcome, texts: readonly string[]): void => {
    if (outcome.kind === 'complete') texts.forEach((text) => known.run.add(text));
    else if (isNotRun(outcome)) texts.forEach((text) => known.notRun.add(text));
  };

  const runSingle = async (sender: string): Promise<void> => {
    if (random() < 0.4) {
      await run(sender, random() < 0.5 ? { maxAgeMs: 2_000 } : {});
      return;
    }
    const write = createWrite();
    conclude(await run(sender, write), [write.text]);
  };
  const runTransaction = async (sender: string): Promise<void> => {
    lastId += 1;
    const transaction = lastId;
    const texts: string[] = [];
    const statementCount = 1 + Math.floor(random() * 3);
    for (let count = 0; count < statementCount; count += 1) {
      const write = createWrite();
      texts.push(write.text);
      const outcome = await run(sender, { ...write, transaction, opensTransaction: count === 0 });
      if (outcome.kind !== 'complete') {
        server.endTransaction(sender, transaction);
        texts.forEach((text) => known.notRun.add(text));
        return;
      }
      if (random() < 0.3) await sleep(random() * 150);
    }
    const commit = { action: Action.ACTION_COMMIT, text: 'COMMIT', transaction };
    const outcome = await run(sender, commit);
    conclude(outcome, texts);
    if (outcome.kind !== 'complete') server.endTransaction(sender, transaction);
  };
  const runCaller = async (sender: string): Promise<void> => {
    while (!isOver) {
      await (random() < 0.5 ? runSingle(sender) : runTransaction(sender));
      await sleep(random() * 20);
    }
  };

  const events: readonly (() => void)[] = [
    () => members.endConnections(pick(ENDPOINTS).id),
    () => members.addFault('p', pick(['busy', 'failed', 'breakBefore', 'breakAfter', 'noAnswer'])),
    () => {
      const { id } = pick(ENDPOINTS);
      members.setUnreachable(id, true);
      setTimeout(() => members.setUnreachable(id, false), random() * 200);
    },
    () => {
      isCertain = false;
      setTimeout(() => {
        isCertain = true;
      }, random() * 200);
    },
    () => {
      // A leaving endpoint that is not listed any more is removed at once.
      server.updateEndpoints(
        ENDPOINTS.map((endpoint) => ({ ...endpoint, isLeaving: endpoint.id === 's' })),
        12,
      );
      server.updateEndpoints(ENDPOINTS.slice(0, 2), 12);
    },
    () => server.endTransactionsOfSender(pick(['vm-1', 'vm-2'])),
    () => {
      const dataCentre = pick(['waco', 'temple']);
      const setPhase = (phase: EvacuationPhase): void => {
        phases.set(dataCentre, phase);
        server.noteEvacuationsChanged();
      };
      setPhase('evacuating');
      setTimeout(() => setPhase('evacuated'), random() * 100);
      setTimeout(() => setPhase('inService'), 100 + random() * 100);
    },
  ];
  const runEvents = async (): Promise<void> => {
    while (!isOver) {
      await sleep(random() * 150);
      pick(events)();
    }
  };

  return {
    run: async (): Promise<void> => {
      const callers = Array.from({ length: CALLERS }, (_, index) =>
        runCaller(`vm-${1 + (index % 2)}`),
      );
      const running = Promise.all([...callers, runEvents()]);
      const drainsFromMs = DRAINS_FROM_MS + random() * 2 * (RUNS_FOR_MS - DRAINS_FROM_MS);
      setTimeout(() => {
        if (!isOver) server.startDraining();
      }, drainsFromMs);
      await sleep(RUNS_FOR_MS);
      isOver = true;
      server.close();
      await Promise.race([running, sleep(ANSWERED_AFTER_CLOSE_MS)]);
    },
    /** What is wrong with the answers, after `run`. */
    findFaults: (): string[] => {
      const countOf = (text: string): number =>
        members.committed.filter((other) => other === text).length;
      return [
        ...[...unanswered].map((request) => `${request} is unanswered`),
        ...refusals
          .filter((request, index) => refusals.indexOf(request) !== index || completed.has(request))
          .map((request) => `${request} is answered twice`),
        ...[...inDoubt]
          .filter((request) => !sent.has(request))
          .map((request) => `${request} is in doubt, though it was not sent`),
        ...[...uncommitted].map((request) => `${request} is in doubt, though nothing commits it`),
        ...[...known.run].filter((text) => countOf(text) !== 1).map((text) => `${text} is not run`),
        ...[...known.notRun].filter((text) => countOf(text) > 0).map((text) => `${text} is run`),
        ...members.committed.filter((text) => countOf(text) > 1).map((text) => `${text} ran twice`),
      ].map((fault) => `seed ${seed}: ${fault}`);
    },
    knownCount: () => known.run.size,
  };
};

describe('createGroupServer under random faults', () => {
  it('answers each statement once and truly, whatever ends', async () => {
    const worlds = Array.from({ length: SEEDS }, (_, index) => createWorld(FIRST_SEED + index));
    await Promise.all(worlds.map(({ run }) => run()));
    expect(worlds.flatMap(({ findFaults }) => findFaults())).to.deep.equal([]);
    expect(worlds.reduce((sum, { knownCount }) => sum + knownCount(), 0)).to.be.above(SEEDS);
  });
});
