import {
  createFollowRepair,
  createPrimaryJudge,
  isReplacementAgreed,
  type ConfigurationState,
  type FailoverTimings,
  type PrimaryView,
  type TermRecord,
} from '@auburngrade/coordination';
import type { Platform } from '@auburngrade/platform';
import type GroupHolder from '../groups/groupHolder';
import type Logger from '../log/logger';
import sleep from '../time/sleep';
import createMemberControl from './createMemberControl';
import type createPeerOpinions from './createPeerOpinions';
import createPromotionRun from './createPromotionRun';
import createRecordWriter from './createRecordWriter';
import type FailoverMetrics from './failoverMetrics';
import plannedReason from './plannedReason';
import type PromotionReason from './promotionReason';

interface PromoterOptions {
  holder: GroupHolder;
  /** Names this start of this VM. */
  promoter: string;
  platform: Platform;
  configuration: ConfigurationState;
  platformTimeoutMs: number;
  timings: FailoverTimings;
  opinions: ReturnType<typeof createPeerOpinions>;
  /** This VM's place among the holders of the group: lower ones act first. */
  rank(): number;
  metrics: FailoverMetrics;
  logger: Logger;
  nowMs(): number;
}

const RANK_DELAY_MS = 50;
const TAKE_OVER_RANK_DELAY_MS = 150;
const PLANNED_RANK_DELAY_MS = 1_000;
const RETRY_DELAY_MS = 200;
/** Shorter than the time for which another holder waits for the answer. */
const LOOK_TIMEOUT_MS = 150;
const PLANNED_RETRY_DELAY_MS = 3_000;

/** Watches one group's primary and members, and orders its promotions. */
const createGroupPromoter = (options: PromoterOptions) => {
  const { holder, promoter, configuration, timings, logger, nowMs } = options;
  const judge = createPrimaryJudge(timings);
  const repair = createFollowRepair();
  const control = createMemberControl(holder, nowMs);
  const writer = createRecordWriter(
    options.platform,
    configuration,
    holder.name,
    options.platformTimeoutMs,
  );
  let current: ReturnType<typeof createPromotionRun>;
  let view: PrimaryView = 'unknown';
  let wantedSinceMs: number | undefined;
  let wantedFor = '';
  let nextTryAtMs = 0;
  let isAsking = false;

  const onOver = (): void => {
    nextTryAtMs = nowMs() + RETRY_DELAY_MS;
  };

  const isMajorityAnswering = (record: TermRecord): boolean => {
    const voters = holder.voters();
    const answering = holder
      .views()
      .filter((member) => voters.includes(member.member))
      .filter((member) => member.member !== record.primary || view !== 'gone')
      .filter((member) => judge.isAnswering(member));
    return answering.length > voters.length / 2;
  };

  const start = (record: TermRecord, reason: PromotionReason, sinceMs: number): void => {
    if (reason === 'unconfirmed') judge.noteStallReplacement();
    current = createPromotionRun({ ...options, control, writer, onOver }, record, reason, sinceMs);
    current.driver.dispatch({ kind: 'start' });
  };

  const startWhenAgreed = async (
    record: TermRecord,
    reason: PromotionReason,
    sinceMs: number,
  ): Promise<void> => {
    isAsking = true;
    try {
      const views = await options.opinions.collect(holder.name, record.term);
      nextTryAtMs = nowMs() + RETRY_DELAY_MS;
      if (holder.record() === record && isReplacementAgreed(views)) start(record, reason, sinceMs);
      else logger.info('failover.notAgreed', { group: holder.name, views });
    } finally {
      isAsking = false;
    }
  };

  /** How long the present state of the record or the primary has asked for a change. */
  const wantedForMs = (key: string): number => {
    if (wantedFor !== key) {
      wantedFor = key;
      wantedSinceMs = nowMs();
    }
    return nowMs() - (wantedSinceMs ?? nowMs());
  };

  const sinceMsOf = (record: TermRecord): number =>
    holder.views().find(({ member }) => member === record.primary)?.unansweredSinceMs ??
    wantedSinceMs ??
    nowMs();

  const considerTakeOver = (record: TermRecord): void => {
    const elapsedMs = wantedForMs(`promoting/${record.term}`);
    // Nobody else acts under a claim of this very process that it has given up.
    const waitMs =
      record.promoter === promoter
        ? 0
        : timings.takeOverAfterMs + options.rank() * TAKE_OVER_RANK_DELAY_MS;
    if (elapsedMs < waitMs || nowMs() < nextTryAtMs || !isMajorityAnswering(record)) return;
    start(record, 'takeOver', wantedSinceMs ?? nowMs());
  };

  const considerPlanned = (record: TermRecord): void => {
    const reason = plannedReason(holder, record);
    if (!reason) {
      wantedForMs('nothing');
      return;
    }
    const elapsedMs = wantedForMs(`${reason}/${record.term}`);
    if (elapsedMs < options.rank() * PLANNED_RANK_DELAY_MS || nowMs() < nextTryAtMs) return;
    if (!isMajorityAnswering(record)) return;
    nextTryAtMs = nowMs() + PLANNED_RETRY_DELAY_MS;
    start(record, reason, nowMs());
  };

  const considerReplacement = (record: TermRecord): void => {
    const judgement = judge.judge(record);
    view = judgement.view;
    if (!judgement.reason) {
      considerPlanned(record);
      return;
    }
    const elapsedMs = wantedForMs(`gone/${record.term}`);
    if (elapsedMs < options.rank() * RANK_DELAY_MS) return;
    if (isAsking || nowMs() < nextTryAtMs || !isMajorityAnswering(record)) return;
    startWhenAgreed(record, judgement.reason, sinceMsOf(record));
  };

  const repairFollowers = (record: TermRecord): void => {
    const upstream = holder.group.members.find(({ name }) => name === record.primary);
    if (!upstream) return;
    repair.due(record, holder.views()).forEach((member) => {
      logger.info('member.followAgain', { group: holder.name, member, term: record.term });
      control.follow(member, record.term, upstream).catch(() => {});
    });
  };

  const isOvertaken = (record: TermRecord): boolean =>
    record.term > current.promotion.term ||
    (record.term === current.promotion.term && record.promoter !== promoter);

  const isBusy = (): boolean => current !== undefined && !current.promotion.isOver();

  /** Asks the primary now, as an idle group's last poll may be old. */
  const lookAgain = async (record: TermRecord): Promise<PrimaryView> => {
    if (!record.primary || view !== 'present') return view;
    const status = await Promise.race([holder.pollMember(record.primary), sleep(LOOK_TIMEOUT_MS)]);
    return status ? view : 'unknown';
  };

  return {
    holder,
    /** Answers another holder that sees the primary of this term gone. */
    view: async (term: number): Promise<PrimaryView> => {
      const record = holder.record();
      if (!record || record.term < term) return 'unknown';
      return record.term > term ? 'present' : lookAgain(record);
    },
    tick: (): void => {
      const record = holder.record();
      if (!record) return;
      judge.observe(holder.views(), nowMs());
      if (isBusy()) {
        current.driver.dispatch(isOvertaken(record) ? { kind: 'lost' } : { kind: 'tick' });
        return;
      }
      if (record.state === 'promoting') {
        view = 'gone';
        considerTakeOver(record);
        return;
      }
      considerReplacement(record);
      if (options.rank() === 0 || view === 'present') repairFollowers(record);
    },
    close: (): void => current?.driver.close(),
  };
};

export default createGroupPromoter;
