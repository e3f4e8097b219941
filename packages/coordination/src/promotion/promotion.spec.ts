import { expect } from 'chai';
import fc from 'fast-check';
import isMajorityAcknowledged from '../acknowledgement/isMajorityAcknowledged';
import type MemberStatus from '../acknowledgement/memberStatus';
import type TermRecord from '../configuration/termRecord';
import chooseCandidate from './chooseCandidate';
import createPromotion from './createPromotion';
import type Promotion from './promotion';
import type PromotionAction from './promotionAction';
import type PromotionEvent from './promotionEvent';

interface Entry {
  term: number;
  id: string;
  state: 'run' | 'cancelled';
}
interface ModelMember {
  name: string;
  fencedTerm: number;
  role: 'primary' | 'replica';
  primaryTerm: number;
  log: Entry[];
  upstream: string | undefined;
}
interface ModelVm {
  name: string;
  record: TermRecord;
  revision: number;
  incarnation: number;
  promotion: Promotion | undefined;
  /** Latest poll results, by member. */
  statuses: Map<string, MemberStatus>;
  waiting: { entry: Entry; position: number; voters: string[]; primary: string }[];
}
interface Message {
  deliver(): void;
  lose(): void;
}

const MEMBERS = ['m1', 'm2', 'm3', 'm4'];
const GROUP_MEMBERSHIPS = [
  ['m1', 'm2', 'm3'],
  ['m1', 'm2', 'm3', 'm4'],
  ['m2', 'm3', 'm4'],
];
const REQUEST_IDS = Array.from({ length: 40 }, (_, index) => `r${index}`);
const TICK_MS = 300;
const RUNS = 1_000;

/** Simulates members, VMs and one stored term record; any message may be delayed or lost. */
const createSimulation = () => {
  const initialRecord: TermRecord = {
    term: 1,
    state: 'active',
    primary: 'm1',
    voters: ['m1', 'm2', 'm3'],
    history: [{ term: 1, startPosition: 0 }],
  };
  const termStore = { record: initialRecord, revision: 1 };
  let configuredMembers = GROUP_MEMBERSHIPS[0] ?? [];
  let nowMs = 0;
  const members = new Map(
    MEMBERS.map((name): [string, ModelMember] => [
      name,
      {
        name,
        fencedTerm: 1,
        role: name === 'm1' ? 'primary' : 'replica',
        primaryTerm: name === 'm1' ? 1 : 0,
        log: [],
        upstream: name === 'm1' ? undefined : 'm1',
      },
    ]),
  );
  const vms = ['a', 'b', 'c'].map((name): ModelVm => ({
    name,
    record: initialRecord,
    revision: 1,
    incarnation: 1,
    promotion: undefined,
    statuses: new Map(),
    waiting: [],
  }));
  const messages: Message[] = [];
  const acknowledged: Entry[] = [];
  const acknowledgingPrimariesByTerm = new Map<number, Set<string>>();
  const promoted: { term: number; log: Entry[] }[] = [];

  const memberOf = (name: string): ModelMember => {
    const member = members.get(name);
    if (!member) throw new Error(`no member ${name}`);
    return member;
  };

  const statusOf = ({ name, role, fencedTerm, log }: ModelMember): MemberStatus => ({
    member: name,
    role,
    fencedTerm,
    logTerm: log.at(-1)?.term ?? 0,
    position: log.length,
    askedAtMs: nowMs,
  });

  const containsEntry = (log: readonly Entry[], { id, state, term }: Entry): boolean =>
    log.some((other) => other.id === id && other.state === state && other.term === term);

  const assertAcknowledgedEntriesKept = (): void =>
    promoted.forEach(({ term, log }) =>
      acknowledged
        .filter((entry) => entry.term < term)
        .forEach((entry) => {
          if (!containsEntry(log, entry))
            throw new Error(`primary of term ${term} lacks ${entry.id}`);
        }),
    );

  const acknowledge = (entry: Entry, primary: string): void => {
    acknowledged.push(entry);
    const primaries = acknowledgingPrimariesByTerm.get(entry.term) ?? new Set();
    acknowledgingPrimariesByTerm.set(entry.term, primaries.add(primary));
    if (primaries.size > 1) throw new Error(`two primaries acknowledge in term ${entry.term}`);
    const other = acknowledged.find(
      ({ id, state, term }) => id === entry.id && (state !== entry.state || term !== entry.term),
    );
    if (other) throw new Error(`${entry.id} has two outcomes`);
    assertAcknowledgedEntriesKept();
  };

  const write = (vm: ModelVm, id: string, state: Entry['state']): void => {
    const { record } = vm;
    if (record.state !== 'active' || record.primary === undefined) return;
    const member = memberOf(record.primary);
    const isRefused = record.term < member.fencedTerm || member.role !== 'primary';
    if (isRefused || member.fencedTerm > member.primaryTerm) return;
    if (member.log.some((entry) => entry.id === id)) return;
    const entry: Entry = { term: member.primaryTerm, id, state };
    member.log = [...member.log, entry];
    if (entry.term !== record.term) return;
    const position = member.log.length;
    vm.waiting.push({ entry, position, voters: record.voters ?? [], primary: member.name });
  };

  const acknowledgeHeldEntries = (vm: ModelVm): void => {
    const isMajorityHeld = ({ entry, position, voters }: ModelVm['waiting'][number]): boolean => {
      const statuses = [...vm.statuses.values()].filter(({ member }) => voters.includes(member));
      return isMajorityAcknowledged(statuses, voters.length, entry.term, position);
    };
    const held = vm.waiting.filter(isMajorityHeld);
    Object.assign(vm, {
      waiting: vm.waiting.filter((pendingEntry) => !held.includes(pendingEntry)),
    });
    held.forEach(({ entry, primary }) => acknowledge(entry, primary));
  };

  const poll = (vm: ModelVm, member: ModelMember): void => {
    const status = statusOf(member);
    messages.push({
      deliver: () => {
        vm.statuses.set(member.name, status);
        acknowledgeHeldEntries(vm);
      },
      lose: () => {},
    });
  };

  const replicate = (member: ModelMember): void => {
    if (member.role === 'primary' || member.upstream === undefined) return;
    const source = memberOf(member.upstream).log;
    const firstDifference = member.log.findIndex(
      (entry, index) => source[index]?.id !== entry.id || source[index]?.term !== entry.term,
    );
    const commonLength = firstDifference === -1 ? member.log.length : firstDifference;
    Object.assign(member, { log: source.slice(0, commonLength + 1) });
  };

  const fence = (member: ModelMember, term: number): void => {
    if (term <= member.fencedTerm) return;
    Object.assign(member, { fencedTerm: term, role: 'replica', upstream: undefined });
  };

  const promote = (member: ModelMember, term: number): PromotionEvent => {
    if (term !== member.fencedTerm) return { kind: 'failed', member: member.name };
    promoted.push({ term, log: member.log });
    const startPosition = member.log.length;
    const mark: Entry = { term, id: `mark-${term}`, state: 'cancelled' };
    const log = [...member.log, mark];
    Object.assign(member, { role: 'primary', primaryTerm: term, upstream: undefined, log });
    assertAcknowledgedEntriesKept();
    return {
      kind: 'promoted',
      member: member.name,
      startPosition,
      markPosition: startPosition + 1,
    };
  };

  const follow = (member: ModelMember, term: number, upstream: string): void => {
    if (term < member.fencedTerm) return;
    Object.assign(member, { fencedTerm: term, role: 'replica', upstream });
  };

  const writeTermRecord = (
    vm: ModelVm,
    record: TermRecord,
    expectedRevision: number,
  ): PromotionEvent => {
    const { record: current } = termStore;
    const isOwnRetry =
      current.term === record.term &&
      current.promoter === record.promoter &&
      current.state === record.state;
    if (!isOwnRetry && termStore.revision !== expectedRevision) return { kind: 'lost' };
    if (!isOwnRetry) Object.assign(termStore, { record, revision: termStore.revision + 1 });
    Object.assign(vm, { record: termStore.record, revision: termStore.revision });
    return { kind: 'written', revision: termStore.revision };
  };

  const perform = (vm: ModelVm, action: PromotionAction): PromotionEvent | undefined => {
    if (action.kind === 'claim' || action.kind === 'publish') {
      return writeTermRecord(vm, action.record, action.expectedRevision);
    }
    const member = memberOf(action.member);
    if (action.kind === 'promote') return promote(member, action.term);
    if (action.kind === 'fence') fence(member, action.term);
    if (action.kind === 'follow') {
      follow(member, action.term, action.upstream);
      return undefined;
    }
    return { kind: 'status', status: statusOf(member) };
  };

  const dispatch = (vm: ModelVm, incarnation: number, event: PromotionEvent): void => {
    if (vm.incarnation !== incarnation) return;
    vm.promotion?.handle(event, nowMs).forEach((action) => {
      const answer = (reply: PromotionEvent): Message => ({
        deliver: () => dispatch(vm, incarnation, reply),
        lose: () => {},
      });
      const isWrite = action.kind === 'claim' || action.kind === 'publish';
      messages.push({
        deliver: () => {
          const reply = perform(vm, action);
          if (reply) messages.push(answer(reply));
        },
        lose: () => {
          if (!isWrite && 'member' in action)
            messages.push(answer({ kind: 'failed', member: action.member }));
        },
      });
    });
  };

  const start = (vm: ModelVm, shape: number): void => {
    if (vm.promotion && !vm.promotion.isFinished()) return;
    const { record, revision } = vm;
    const incarnation = vm.incarnation + 1;
    const promotion = createPromotion({
      promoter: `${vm.name}/${incarnation}`,
      term: record.term + 1,
      base: record,
      baseRevision: revision,
      voters: record.voters ?? [],
      members: configuredMembers,
      eligible: configuredMembers,
      avoided: shape % 2 === 0 ? record.primary : undefined,
      isPlanned: shape % 3 === 0,
    });
    Object.assign(vm, { incarnation, promotion });
    dispatch(vm, vm.incarnation, { kind: 'start' });
  };

  const pickItem = <Item>(items: readonly Item[], index: number): Item | undefined =>
    items[index % Math.max(1, items.length)];

  const takeMessage = (index: number): Message | undefined =>
    messages.splice(index % Math.max(1, messages.length), 1)[0];

  const simulationSteps: ((vm: ModelVm, member: ModelMember, index: number) => void)[] = [
    (vm, _member, index) => write(vm, pickItem(REQUEST_IDS, index) ?? '', 'run'),
    (vm, _member, index) =>
      write(vm, pickItem(REQUEST_IDS, index) ?? '', index % 2 ? 'run' : 'cancelled'),
    (vm, member) => poll(vm, member),
    (vm, member) => poll(vm, member),
    (_vm, member) => replicate(member),
    (_vm, member) => replicate(member),
    (_vm, member) => replicate(member),
    (vm) => Object.assign(vm, { record: termStore.record, revision: termStore.revision }),
    (vm, _member, index) => {
      if (index % 5 === 0) start(vm, index);
    },
    (vm) => {
      nowMs += TICK_MS;
      dispatch(vm, vm.incarnation, { kind: 'tick' });
    },
    (vm, _member, index) => {
      // The VM process crashes and restarts: replies to the old incarnation are dropped.
      if (index % 4 === 0)
        Object.assign(vm, { promotion: undefined, incarnation: vm.incarnation + 1, waiting: [] });
    },
    (_vm, _member, index) => {
      if (index % 8 === 0)
        configuredMembers = pickItem(GROUP_MEMBERSHIPS, index / 8) ?? configuredMembers;
    },
    (_vm, _member, index) => {
      if (index % 3 === 0) takeMessage(index)?.lose();
    },
  ];
  const deliverMessage = (_vm: ModelVm, _member: ModelMember, index: number): void =>
    takeMessage(index)?.deliver();
  const allSteps = [...simulationSteps, ...Array.from({ length: 12 }, () => deliverMessage)];

  return {
    step: (kind: number, vmIndex: number, memberIndex: number, index: number): void => {
      const vm = pickItem(vms, vmIndex);
      const member = pickItem([...members.values()], memberIndex);
      if (vm && member) pickItem(allSteps, kind)?.(vm, member, index);
    },
    counts: () => ({ acknowledged: acknowledged.length, promoted: promoted.length }),
  };
};

const stepArbitrary = fc.tuple(fc.nat(1_000), fc.nat(2), fc.nat(3), fc.nat(1_000));

describe('promotion', () => {
  describe('choice among fenced members', () => {
    const status = (member: string, logTerm: number, position: number): MemberStatus => ({
      member,
      role: 'replica',
      fencedTerm: 3,
      logTerm,
      position,
      askedAtMs: 0,
    });

    it('prefers the latest log term over the longest log', () => {
      const fenced = [status('m1', 1, 9), status('m2', 2, 4)];
      const names = ['m1', 'm2', 'm3'];
      expect(chooseCandidate(fenced, names, names)?.member).to.equal('m2');
    });

    it('rejects a member unless its log is at least as advanced as those of a majority', () => {
      const fenced = [status('m1', 2, 9), status('m2', 2, 4)];
      expect(chooseCandidate(fenced, ['m1', 'm2', 'm3'], ['m2', 'm3'])).to.equal(undefined);
    });
  });

  describe('with delayed and lost messages, crashes and membership changes in any order', () => {
    it('keeps every acknowledged outcome in each later primary, with one primary per term', () => {
      const totals = { acknowledged: 0, promoted: 0 };
      fc.assert(
        fc.property(
          fc.array(stepArbitrary, { minLength: 400, maxLength: 900, size: 'max' }),
          (steps) => {
            const simulation = createSimulation();
            steps.forEach((step) => simulation.step(...step));
            totals.acknowledged += simulation.counts().acknowledged;
            totals.promoted += simulation.counts().promoted;
          },
        ),
        { numRuns: RUNS, endOnFailure: true },
      );
      // Guards against runs that hold trivially because nothing was acknowledged or promoted.
      expect(totals.acknowledged).to.be.above(RUNS);
      expect(totals.promoted).to.be.above(RUNS);
    });
  });
});
