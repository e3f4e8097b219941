import type MemberStatus from '../acknowledgement/memberStatus';
import type TermRecord from '../configuration/termRecord';
import chooseCandidate from './chooseCandidate';
import compareLogs from './compareLogs';
import type PromotionAction from './promotionAction';
import type PromotionEvent from './promotionEvent';
import type PromotionPhase from './promotionPhase';
import type PromotionPlan from './promotionPlan';

/** How long a planned promotion waits for a replica to reach the end of the fenced primary's log. */
const CATCH_UP_TIMEOUT_MS = 1_000;
/** After this time `avoided` may be promoted again if no other member can be. */
const AVOIDANCE_TIMEOUT_MS = 2_000;
/** How long a majority of a changed set of members has to replicate the new term's first entry. */
const NEW_VOTERS_TIMEOUT_MS = 1_000;
const MAX_HISTORY_TERMS = 64;

/**
 * State machine of one attempt to give a group a new primary: claim a term, fence a majority,
 * choose, promote, publish. Does no I/O: the caller performs the returned actions and passes
 * in their results. Only the promoter that won a term acts under it, so each step may be
 * repeated; fenced members refuse the term of an attempt that a later term has superseded.
 */
const createPromotion = (plan: PromotionPlan) => {
  const { term, voters, members, eligible, avoided } = plan;
  const allMembers = [...new Set([...voters, ...members])];
  const hasSameVoters =
    voters.length === members.length && voters.every((name) => members.includes(name));
  const fencedStatuses = new Map<string, MemberStatus>();
  let phase: PromotionPhase = 'idle';
  let revision = plan.baseRevision;
  let claimedAtMs = 0;
  let newPrimary: string | undefined;
  let catchUpUpstream: string | undefined;
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
    primary: newPrimary,
    voters: nextVoters,
    history: [...plan.base.history, { term, startPosition }].slice(-MAX_HISTORY_TERMS),
  });

  const findMostAdvanced = (): MemberStatus | undefined =>
    [...fencedStatuses.values()].sort((a, b) => compareLogs(b, a))[0];

  const promote = (member: string): PromotionAction[] => {
    phase = 'promoting';
    newPrimary = member;
    return [{ kind: 'promote', member, term }];
  };

  const catchUpTo = (upstream: MemberStatus): PromotionAction[] => {
    const replicas = eligible.filter(
      (name) => name !== upstream.member && fencedStatuses.has(name),
    );
    const polls: PromotionAction[] = replicas.map((member) => ({ kind: 'poll', member }));
    if (catchUpUpstream === upstream.member) return polls;
    catchUpUpstream = upstream.member;
    return replicas.map((member) => ({ kind: 'follow', member, term, upstream: upstream.member }));
  };

  const chooseOrCatchUp = (nowMs: number): PromotionAction[] => {
    const elapsedMs = nowMs - claimedAtMs;
    const allowedMembers =
      elapsedMs < AVOIDANCE_TIMEOUT_MS ? eligible.filter((name) => name !== avoided) : eligible;
    const candidate = chooseCandidate([...fencedStatuses.values()], voters, allowedMembers);
    const mostAdvanced = findMostAdvanced();
    const isCandidateBehind =
      mostAdvanced && (!candidate || compareLogs(mostAdvanced, candidate) > 0);
    if (plan.isPlanned && mostAdvanced && isCandidateBehind && elapsedMs < CATCH_UP_TIMEOUT_MS) {
      return fencedStatuses.size > voters.length / 2 ? catchUpTo(mostAdvanced) : [];
    }
    return candidate ? promote(candidate.member) : [];
  };

  const requestMissingFences = (): PromotionAction[] =>
    allMembers
      .filter((member) => !fencedStatuses.has(member))
      .map((member) => ({ kind: 'fence', member, term }));

  const publish = (nextVoters: string[]): PromotionAction[] => {
    phase = 'publishing';
    return [{ kind: 'publish', record: activeRecord(nextVoters), expectedRevision: revision }];
  };

  const otherMembers = (): string[] => allMembers.filter((member) => member !== newPrimary);

  /** A majority of the new voters must hold every entry the old voters acknowledged. */
  const isHeldByNewMajority = (): boolean => {
    const holders = members.filter((member) => {
      const status = fencedStatuses.get(member);
      return member === newPrimary || (status?.logTerm === term && status.position >= markPosition);
    });
    return holders.length > members.length / 2;
  };

  const onPromoted = (): PromotionAction[] => {
    const follows: PromotionAction[] = otherMembers().map((member) => ({
      kind: 'follow',
      member,
      term,
      upstream: newPrimary ?? '',
    }));
    if (hasSameVoters || isHeldByNewMajority()) return [...publish(members), ...follows];
    phase = 'spreading';
    return follows;
  };

  const onStatus = (status: MemberStatus, nowMs: number): PromotionAction[] => {
    if (status.fencedTerm > term) {
      phase = 'abandoned';
      return [];
    }
    if (status.fencedTerm === term) fencedStatuses.set(status.member, status);
    if (phase === 'fencing') return chooseOrCatchUp(nowMs);
    if (phase === 'spreading' && isHeldByNewMajority()) return publish(members);
    return [];
  };

  const onWritten = (newRevision: number, nowMs: number): PromotionAction[] => {
    revision = newRevision;
    if (phase === 'publishing') {
      phase = 'done';
      return [];
    }
    if (phase !== 'claiming') return [];
    phase = 'fencing';
    claimedAtMs = nowMs;
    return requestMissingFences();
  };

  const onTick = (nowMs: number): PromotionAction[] => {
    if (phase === 'fencing') {
      const choiceActions = chooseOrCatchUp(nowMs);
      return phase === 'fencing' ? [...requestMissingFences(), ...choiceActions] : choiceActions;
    }
    if (phase !== 'spreading') return [];
    // The new members did not catch up in time: the old voters remain the voters.
    if (nowMs - promotedAtMs >= NEW_VOTERS_TIMEOUT_MS) return publish(voters);
    return members.map((member) => ({ kind: 'poll', member }));
  };

  return {
    term,
    phase: () => phase,
    getNewPrimary: () => newPrimary,
    isFinished: () => phase === 'done' || phase === 'abandoned',
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
          if (phase !== 'promoting' || event.member !== newPrimary) return [];
          startPosition = event.startPosition;
          markPosition = event.markPosition;
          promotedAtMs = nowMs;
          return onPromoted();
        case 'failed':
          // The member may have been promoted, so the next attempt must fence it at a higher term.
          if (phase === 'promoting' && event.member === newPrimary) phase = 'abandoned';
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
