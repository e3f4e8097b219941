import type MemberStatus from '../acknowledgement/memberStatus';
import type TermRecord from '../configuration/termRecord';
import chooseCandidate from './chooseCandidate';
import compareLogs from './compareLogs';
import type PromotionAction from './promotionAction';
import type PromotionEvent from './promotionEvent';
import type PromotionPhase from './promotionPhase';
import type PromotionPlan from './promotionPlan';

/** How long a planned change waits for a replica to reach the end of the fenced primary's log. */
const CATCH_UP_TIMEOUT_MS = 1_000;
/** After this the present primary may be chosen again when nobody else can be. */
const AVOIDANCE_TIMEOUT_MS = 2_000;
/** How long the members of a changed group have to confirm the new term's first entry. */
const SPREAD_TIMEOUT_MS = 1_000;
const MAX_HISTORY_TERMS = 64;

/**
 * One attempt to give a group a new primary: claim a term, fence a majority, choose,
 * promote, publish. Only the promoter that won a term acts under it, so each step may
 * be repeated; an attempt that is overtaken finds its term refused by the fences.
 */
const createPromotion = (plan: PromotionPlan) => {
  const { term, voters, members, eligible, avoided } = plan;
  const everyone = [...new Set([...voters, ...members])];
  const hasSameVoters =
    voters.length === members.length && voters.every((name) => members.includes(name));
  const fenced = new Map<string, MemberStatus>();
  let phase: PromotionPhase = 'idle';
  let revision = plan.baseRevision;
  let claimedAtMs = 0;
  let chosen: string | undefined;
  let catchingUp: string | undefined;
  let startPosition = 0;
  let markPosition = 0;
  let promotedAtMs = 0;

  const claimRecord = (): TermRecord => ({
    term,
    state: 'promoting',
    promoter: plan.promoter,
    voters,
    history: plan.base.history,
  });

  const activeRecord = (nextVoters: string[]): TermRecord => ({
    term,
    state: 'active',
    promoter: plan.promoter,
    primary: chosen,
    voters: nextVoters,
    history: [...plan.base.history, { term, startPosition }].slice(-MAX_HISTORY_TERMS),
  });

  const longest = (): MemberStatus | undefined =>
    [...fenced.values()].sort((a, b) => compareLogs(b, a))[0];

  const promote = (member: string): PromotionAction[] => {
    phase = 'promoting';
    chosen = member;
    return [{ kind: 'promote', member, term }];
  };

  const catchUp = (upstream: MemberStatus): PromotionAction[] => {
    const names = eligible.filter((name) => name !== upstream.member && fenced.has(name));
    const polls: PromotionAction[] = names.map((member) => ({ kind: 'poll', member }));
    if (catchingUp === upstream.member) return polls;
    catchingUp = upstream.member;
    return names.map((member) => ({ kind: 'follow', member, term, upstream: upstream.member }));
  };

  const choose = (nowMs: number): PromotionAction[] => {
    const elapsedMs = nowMs - claimedAtMs;
    const allowed =
      elapsedMs < AVOIDANCE_TIMEOUT_MS ? eligible.filter((name) => name !== avoided) : eligible;
    const candidate = chooseCandidate([...fenced.values()], voters, allowed);
    const ahead = longest();
    const isAhead = ahead && (!candidate || compareLogs(ahead, candidate) > 0);
    if (plan.isPlanned && ahead && isAhead && elapsedMs < CATCH_UP_TIMEOUT_MS) {
      return fenced.size > voters.length / 2 ? catchUp(ahead) : [];
    }
    return candidate ? promote(candidate.member) : [];
  };

  const fenceMissing = (): PromotionAction[] =>
    everyone
      .filter((member) => !fenced.has(member))
      .map((member) => ({ kind: 'fence', member, term }));

  const publish = (nextVoters: string[]): PromotionAction[] => {
    phase = 'publishing';
    return [{ kind: 'publish', record: activeRecord(nextVoters), expectedRevision: revision }];
  };

  const others = (): string[] => everyone.filter((member) => member !== chosen);

  /** New voters must hold all that the old ones acknowledged before they count. */
  const isSpread = (): boolean => {
    const holding = members.filter((member) => {
      const status = fenced.get(member);
      return member === chosen || (status?.logTerm === term && status.position >= markPosition);
    });
    return holding.length > members.length / 2;
  };

  const afterPromotion = (): PromotionAction[] => {
    const follows: PromotionAction[] = others().map((member) => ({
      kind: 'follow',
      member,
      term,
      upstream: chosen ?? '',
    }));
    if (hasSameVoters || isSpread()) return [...publish(members), ...follows];
    phase = 'spreading';
    return follows;
  };

  const onStatus = (status: MemberStatus, nowMs: number): PromotionAction[] => {
    if (status.fencedTerm > term) {
      phase = 'abandoned';
      return [];
    }
    if (status.fencedTerm === term) fenced.set(status.member, status);
    if (phase === 'fencing') return choose(nowMs);
    if (phase === 'spreading' && isSpread()) return publish(members);
    return [];
  };

  const onWritten = (writtenRevision: number, nowMs: number): PromotionAction[] => {
    revision = writtenRevision;
    if (phase === 'publishing') {
      phase = 'done';
      return [];
    }
    if (phase !== 'claiming') return [];
    phase = 'fencing';
    claimedAtMs = nowMs;
    return fenceMissing();
  };

  const onTick = (nowMs: number): PromotionAction[] => {
    if (phase === 'fencing') {
      const chosenNow = choose(nowMs);
      return phase === 'fencing' ? [...fenceMissing(), ...chosenNow] : chosenNow;
    }
    if (phase !== 'spreading') return [];
    // Members that can't be reached now don't become voters; the old ones stay.
    if (nowMs - promotedAtMs >= SPREAD_TIMEOUT_MS) return publish(voters);
    return members.map((member) => ({ kind: 'poll', member }));
  };

  return {
    term,
    phase: () => phase,
    chosen: () => chosen,
    isOver: () => phase === 'done' || phase === 'abandoned',
    handle: (event: PromotionEvent, nowMs: number): PromotionAction[] => {
      if (phase === 'done' || phase === 'abandoned') return [];
      switch (event.kind) {
        case 'start':
          phase = 'claiming';
          return [{ kind: 'claim', record: claimRecord(), expectedRevision: revision }];
        case 'written':
          return onWritten(event.revision, nowMs);
        case 'lost':
          phase = 'abandoned';
          return [];
        case 'status':
          return onStatus(event.status, nowMs);
        case 'promoted':
          if (phase !== 'promoting' || event.member !== chosen) return [];
          startPosition = event.startPosition;
          markPosition = event.markPosition;
          promotedAtMs = nowMs;
          return afterPromotion();
        case 'failed':
          // Whether it was promoted is open: a higher term has to fence it first.
          if (phase === 'promoting' && event.member === chosen) phase = 'abandoned';
          return [];
        case 'tick':
          return onTick(nowMs);
        default:
          return [];
      }
    },
  };
};

export default createPromotion;
