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
  /** Latest answers to polls, by member. */
  statuses: Map<string, MemberStatus>;
  waiting: { entry: Entry; position: number; voters: string[]; primary: string }[];
}
interface Message {
  deliver(): void;
  lose(): void;
}

const MEMBERS = ['m1', 'm2', 'm3', 'm4'];
const DOCUMENTS = [
  ['m1', 'm2', 'm3'],
  ['m1', 'm2', 'm3', 'm4'],
  ['m2', 'm3', 'm4'],
];
const REQUEST_IDS = Array.from({ length: 40 }, (_, index) => `r${index}`);
const TICK_MS = 300;
const RUNS = 1_000;

/** A small world of members, VMs and one term record in which any message may be late or lost. */
const createWorld = () => {
  const first: TermRecord = {
    term: 1,
    state: 'active',
    primary: 'm1',
    voters: ['m1', 'm2', 'm3'],
    history: [{ term: 1, startPosition: 0 }],
  };
  const register = { record: first, revision: 1 };
  let document = DOCUMENTS[0] ?? [];
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
    record: first,
    revision: 1,
    incarnation: 1,
    promotion: undefined,
    statuses: new Map(),
    waiting: [],
  }));
  const messages: Message[] = [];
  const acknowledged: Entry[] = [];
  const primariesOfTerm = new Map<number, Set<string>>();
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

  const has = (log: readonly Entry[], { id, state, term }: Entry): boolean =>
    log.some((other) => other.id === id && other.state === state && other.term === term);

  const checkHistory = (): void =>
    promoted.forEach(({ term, log }) =>
      acknowledged
        .filter((entry) => entry.term < term)
        .forEach((entry) => {
          if (!has(log, entry)) throw new Error(`primary of term ${term} lacks ${entry.id}`);
        }),
    );

  const acknowledge = (entry: Entry, primary: string): void => {
    acknowledged.push(entry);
    const primaries = primariesOfTerm.get(entry.term) ?? new Set();
    primariesOfTerm.set(entry.term, primaries.add(primary));
    if (primaries.size > 1) throw new Error(`two primaries acknowledge in term ${entry.term}`);
    const other = acknowledged.find(
      ({ id, state, term }) => id === entry.id && (state !== entry.state || term !== entry.term),
    );
    if (other) throw new Error(`${entry.id} has two outcomes`);
    checkHistory();
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

  const settleWaiting = (vm: ModelVm): void => {
    const isHeld = ({ entry, position, voters }: ModelVm['waiting'][number]): boolean => {
      const statuses = [...vm.statuses.values()].filter(({ member }) => voters.includes(member));
      return isMajorityAcknowledged(statuses, voters.length, entry.term, position);
    };
    const held = vm.waiting.filter(isHeld);
    Object.assign(vm, { waiting: vm.waiting.filter((waiter) => !held.includes(waiter)) });
    held.forEach(({ entry, primary }) => acknowledge(entry, primary));
  };

  const poll = (vm: ModelVm, member: ModelMember): void => {
    const status = statusOf(member);
    messages.push({
      deliver: () => {
        vm.statuses.set(member.name, status);
        settleWaiting(vm);
      },
      lose: () => {},
    });
  };

  const replicate = (member: ModelMember): void => {
    if (member.role === 'primary' || member.upstream === undefined) return;
    const source = memberOf(member.upstream).log;
    const differs = member.log.findIndex(
      (entry, index) => source[index]?.id !== entry.id || source[index]?.term !== entry.term,
    );
    const common = differs === -1 ? member.log.length : differs;
    Object.assign(member, { log: source.slice(0, common + 1) });
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
    checkHistory();
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

  const swap = (vm: ModelVm, record: TermRecord, expectedRevision: number): PromotionEvent => {
    const { record: current } = register;
    const isOwn =
      current.term === record.term &&
      current.promoter === record.promoter &&
      current.state === record.state;
    if (!isOwn && register.revision !== expectedRevision) return { kind: 'lost' };
    if (!isOwn) Object.assign(register, { record, revision: register.revision + 1 });
    Object.assign(vm, { record: register.record, revision: register.revision });
    return { kind: 'written', revision: register.revision };
  };

  const perform = (vm: ModelVm, action: PromotionAction): PromotionEvent | undefined => {
    if (action.kind === 'claim' || action.kind === 'publish') {
      return swap(vm, action.record, action.expectedRevision);
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
    if (vm.promotion && !vm.promotion.isOver()) return;
    const { record, revision } = vm;
    const incarnation = vm.incarnation + 1;
    const promotion = createPromotion({
      promoter: `${vm.name}/${incarnation}`,
      term: record.term + 1,
      base: record,
      baseRevision: revision,
      voters: record.voters ?? [],
      members: document,
      eligible: document,
      avoided: shape % 2 === 0 ? record.primary : undefined,
      isPlanned: shape % 3 === 0,
    });
    Object.assign(vm, { incarnation, promotion });
    dispatch(vm, vm.incarnation, { kind: 'start' });
  };

  const pick = <Item>(items: readonly Item[], index: number): Item | undefined =>
    items[index % Math.max(1, items.length)];

  const take = (index: number): Message | undefined =>
    messages.splice(index % Math.max(1, messages.length), 1)[0];

  const steps: ((vm: ModelVm, member: ModelMember, index: number) => void)[] = [
    (vm, _member, index) => write(vm, pick(REQUEST_IDS, index) ?? '', 'run'),
    (vm, _member, index) =>
      write(vm, pick(REQUEST_IDS, index) ?? '', index % 2 ? 'run' : 'cancelled'),
    (vm, member) => poll(vm, member),
    (vm, member) => poll(vm, member),
    (_vm, member) => replicate(member),
    (_vm, member) => replicate(member),
    (_vm, member) => replicate(member),
    (vm) => Object.assign(vm, { record: register.record, revision: register.revision }),
    (vm, _member, index) => {
      if (index % 5 === 0) start(vm, index);
    },
    (vm) => {
      nowMs += TICK_MS;
      dispatch(vm, vm.incarnation, { kind: 'tick' });
    },
    (vm, _member, index) => {
      // A crash: answers to the lost process reach nobody.
      if (index % 4 === 0)
        Object.assign(vm, { promotion: undefined, incarnation: vm.incarnation + 1, waiting: [] });
    },
    (_vm, _member, index) => {
      if (index % 8 === 0) document = pick(DOCUMENTS, index / 8) ?? document;
    },
    (_vm, _member, index) => {
      if (index % 3 === 0) take(index)?.lose();
    },
  ];
  const deliver = (_vm: ModelVm, _member: ModelMember, index: number): void =>
    take(index)?.deliver();
  const allSteps = [...steps, ...Array.from({ length: 12 }, () => deliver)];

  return {
    step: (kind: number, vmIndex: number, memberIndex: number, index: number): void => {
      const vm = pick(vms, vmIndex);
      const member = pick([...members.values()], memberIndex);
      if (vm && member) pick(allSteps, kind)?.(vm, member, index);
    },
    counts: () => ({ acknowledged: acknowledged.length, promoted: promoted.length }),
  };
};

const stepArbitrary = fc.tuple(fc.nat(1_000), fc.nat(2), fc.nat(3), fc.nat(1_000));

describe('promotion', () => {
  describe('the choice among fenced members', () => {
    const status = (member: string, logTerm: number, position: number): MemberStatus => ({
      member,
      role: 'replica',
      fencedTerm: 3,
      logTerm,
      position,
      askedAtMs: 0,
    });

    it('takes the latest log term before the longest log', () => {
      const fenced = [status('m1', 1, 9), status('m2', 2, 4)];
      const names = ['m1', 'm2', 'm3'];
      expect(chooseCandidate(fenced, names, names)?.member).to.equal('m2');
    });

    it('takes nobody whose log is shorter than those of all but a minority', () => {
      const fenced = [status('m1', 2, 9), status('m2', 2, 4)];
      expect(chooseCandidate(fenced, ['m1', 'm2', 'm3'], ['m2', 'm3'])).to.equal(undefined);
    });
  });

  describe('with messages late and lost, crashes and changes of members, in any order', () => {
    it('keeps every acknowledged outcome in every later primary, by one primary a term', () => {
      const totals = { acknowledged: 0, promoted: 0 };
      fc.assert(
        fc.property(
          fc.array(stepArbitrary, { minLength: 400, maxLength: 900, size: 'max' }),
          (steps) => {
            const world = createWorld();
            steps.forEach((step) => world.step(...step));
            totals.acknowledged += world.counts().acknowledged;
            totals.promoted += world.counts().promoted;
          },
        ),
        { numRuns: RUNS, endOnFailure: true },
      );
      // The property says nothing about runs in which nothing happens.
      expect(totals.acknowledged).to.be.above(RUNS);
      expect(totals.promoted).to.be.above(RUNS);
    });
  });
});
