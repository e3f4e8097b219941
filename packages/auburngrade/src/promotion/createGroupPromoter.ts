import {
  createReplicationRepair,
  createPrimaryFailureDetector,
  isReplacementAgreed,
  type ConfigurationState,
  type FailoverTimings,
  type PrimaryHealth,
  type TermRecord,
} from '@auburngrade/coordination';
import type { ConfigurationStore } from '@auburngrade/platform';
import eligibleMemberNames from '../evacuation/eligibleMemberNames';
import type GroupClient from '../groups/groupClient';
import type Logger from '../log/logger';
import sleep from '../time/sleep';
import createMemberControl from './createMemberControl';
import type createPeerViewCollector from './createPeerViewCollector';
import createPromotionRun from './createPromotionRun';
import createTermRecordWriter from './createTermRecordWriter';
import type FailoverMetrics from './failoverMetrics';
import findPlannedChangeReason from './findPlannedChangeReason';
import type PromotionReason from './promotionReason';

interface PromoterOptions {
  groupClient: GroupClient;
  /** Identifies this process: VM id and incarnation; a restarted VM is another promoter. */
  promoter: string;
  platform: ConfigurationStore;
  configuration: ConfigurationState;
  platformTimeoutMs: number;
  timings: FailoverTimings;
  peerViews: ReturnType<typeof createPeerViewCollector>;
  /** This VM's index among the VMs that hold a slot of the group; lower ranks act first. */
  rank(): number;
  metrics: FailoverMetrics;
  logger: Logger;
  nowMs(): number;
}

const REPLACEMENT_DELAY_PER_RANK_MS = 50;
const TAKE_OVER_DELAY_PER_RANK_MS = 150;
const PLANNED_DELAY_PER_RANK_MS = 1_000;
const ATTEMPT_INTERVAL_MS = 200;
/** Shorter than the 250 ms for which the asking VM waits for the answer (`ASK_TIMEOUT_MS`). */
const PRIMARY_CHECK_TIMEOUT_MS = 150;
const PLANNED_ATTEMPT_INTERVAL_MS = 3_000;

/** Detects loss of one group's primary, runs its promotions and repairs its followers. */
const createGroupPromoter = (options: PromoterOptions) => {
  const { groupClient, promoter, configuration, timings, logger, nowMs } = options;
  const failureDetector = createPrimaryFailureDetector(timings);
  const followRepair = createReplicationRepair();
  const control = createMemberControl(groupClient, nowMs);
  const writer = createTermRecordWriter(
    options.platform,
    configuration,
    groupClient.name,
    options.platformTimeoutMs,
  );
  let activeRun: ReturnType<typeof createPromotionRun>;
  /** Whether the active run was started because the primary was seen as gone. */
  let isRunForLoss = false;
  let view: PrimaryHealth = 'unknown';
  /** Term of the primary that `view` is about. */
  let viewTerm = 0;
  let changeDueSinceMs: number | undefined;
  let changeKey = '';
  let nextAttemptAtMs = 0;
  let isCollectingViews = false;
  let isClosed = false;

  const viewOf = (record: TermRecord): PrimaryHealth =>
    viewTerm === record.term ? view : 'unknown';

  const setView = (record: TermRecord, newView: PrimaryHealth): void => {
    viewTerm = record.term;
    view = newView;
  };

  const onFinished = (): void => {
    nextAttemptAtMs = nowMs() + ATTEMPT_INTERVAL_MS;
  };

  const eligibleNames = (): string[] => eligibleMemberNames(groupClient.group, configuration);

  const isMajorityAnswering = (record: TermRecord): boolean => {
    const voters = groupClient.voters();
    const answering = groupClient
      .views()
      .filter((memberView) => voters.includes(memberView.member))
      .filter((memberView) => memberView.member !== record.primary || view !== 'gone')
      .filter((memberView) => failureDetector.isAnswering(memberView));
    return answering.length > voters.length / 2;
  };

  const startRun = (record: TermRecord, reason: PromotionReason, dueSinceMs: number): void => {
    isRunForLoss = false;
    if (reason === 'unconfirmed') failureDetector.recordStallReplacement();
    activeRun = createPromotionRun(
      { ...options, control, writer, onFinished },
      record,
      reason,
      dueSinceMs,
    );
    activeRun.driver.dispatch({ kind: 'start' });
  };

  const startIfPeersAgree = async (
    record: TermRecord,
    reason: PromotionReason,
    dueSinceMs: number,
  ): Promise<void> => {
    isCollectingViews = true;
    try {
      const views = await options.peerViews.collect(groupClient.name, record.term);
      nextAttemptAtMs = nowMs() + ATTEMPT_INTERVAL_MS;
      if (isClosed) return;
      if (groupClient.record() === record && isReplacementAgreed(views)) {
        startRun(record, reason, dueSinceMs);
        isRunForLoss = true;
      } else logger.info('failover.notAgreed', { group: groupClient.name, views });
    } finally {
      isCollectingViews = false;
    }
  };

  /** How long the change named by `key` has been due without interruption, in ms. */
  const measureChangeDueMs = (key: string): number => {
    if (changeKey !== key) {
      changeKey = key;
      changeDueSinceMs = nowMs();
    }
    return nowMs() - (changeDueSinceMs ?? nowMs());
  };

  const outageStartMs = (record: TermRecord): number =>
    groupClient.views().find(({ member }) => member === record.primary)?.unansweredSinceMs ??
    changeDueSinceMs ??
    nowMs();

  const startDueTakeOver = (record: TermRecord): void => {
    const elapsedMs = measureChangeDueMs(`promoting/${record.term}`);
    // An abandoned claim of this process is resumed at once: no other VM acts under it.
    const waitMs =
      record.promoter === promoter
        ? 0
        : timings.takeOverAfterMs + options.rank() * TAKE_OVER_DELAY_PER_RANK_MS;
    if (elapsedMs < waitMs || nowMs() < nextAttemptAtMs || !isMajorityAnswering(record)) return;
    startRun(record, 'takeOver', changeDueSinceMs ?? nowMs());
  };

  const startDuePlannedChange = (record: TermRecord): void => {
    const reason = findPlannedChangeReason(groupClient, configuration, record, nowMs());
    if (!reason) {
      measureChangeDueMs('none');
      return;
    }
    const elapsedMs = measureChangeDueMs(`${reason}/${record.term}`);
    if (elapsedMs < options.rank() * PLANNED_DELAY_PER_RANK_MS || nowMs() < nextAttemptAtMs) return;
    if (!isMajorityAnswering(record)) return;
    nextAttemptAtMs = nowMs() + PLANNED_ATTEMPT_INTERVAL_MS;
    startRun(record, reason, nowMs());
  };

  const startDueReplacement = (record: TermRecord): void => {
    const judgement = failureDetector.assess(record);
    setView(record, judgement.view);
    if (!judgement.reason) {
      startDuePlannedChange(record);
      return;
    }
    const elapsedMs = measureChangeDueMs(`gone/${record.term}`);
    if (elapsedMs < options.rank() * REPLACEMENT_DELAY_PER_RANK_MS) return;
    if (eligibleNames().length === 0) return;
    if (isCollectingViews || nowMs() < nextAttemptAtMs || !isMajorityAnswering(record)) return;
    startIfPeersAgree(record, judgement.reason, outageStartMs(record));
  };

  const repairFollowers = (record: TermRecord): void => {
    const upstream = groupClient.group.members.find(({ name }) => name === record.primary);
    if (!upstream) return;
    followRepair.listMembersToRepair(record, groupClient.views()).forEach((member) => {
      logger.info('member.followAgain', { group: groupClient.name, member, term: record.term });
      control.follow(member, record.term, upstream).catch(() => {});
    });
  };

  const isSuperseded = (record: TermRecord): boolean =>
    record.term > activeRun.promotion.term ||
    (record.term === activeRun.promotion.term && record.promoter !== promoter);

  /** Whether the primary answers again before the claim is known to be written. */
  const isNoLongerNeeded = (record: TermRecord): boolean =>
    isRunForLoss &&
    activeRun.promotion.phase() === 'claiming' &&
    failureDetector.assess(record).view === 'present';

  /** Whether a run without a candidate was planned with other members than may be promoted now. */
  const isPlanOutdated = (): boolean => {
    const phase = activeRun.promotion.phase();
    if (phase !== 'claiming' && phase !== 'fencing') return false;
    return activeRun.eligible.join() !== eligibleNames().join();
  };

  const isRunActive = (): boolean => activeRun !== undefined && !activeRun.promotion.isFinished();

  /** Polls the primary before answering, since an idle group's last poll may be old. */
  const recheckPrimary = async (record: TermRecord): Promise<PrimaryHealth> => {
    if (!record.primary || viewOf(record) !== 'present') return viewOf(record);
    const status = await Promise.race([
      groupClient.pollMember(record.primary),
      sleep(PRIMARY_CHECK_TIMEOUT_MS),
    ]);
    return status ? viewOf(record) : 'unknown';
  };

  return {
    groupClient,
    /** Returns this VM's view to another VM that sees the primary of `term` gone. */
    view: async (term: number): Promise<PrimaryHealth> => {
      const record = groupClient.record();
      if (!record || record.term < term) return 'unknown';
      return record.term > term ? 'present' : recheckPrimary(record);
    },
    tick: (): void => {
      const record = groupClient.record();
      if (!record) return;
      failureDetector.observe(groupClient.views(), nowMs());
      if (isRunActive()) {
        const isOver = isSuperseded(record) || isNoLongerNeeded(record) || isPlanOutdated();
        activeRun.driver.dispatch(isOver ? { kind: 'lost' } : { kind: 'tick' });
        return;
      }
      if (record.state === 'promoting') {
        setView(record, 'gone');
        if (eligibleNames().length > 0) startDueTakeOver(record);
        return;
      }
      startDueReplacement(record);
      if (options.rank() === 0 || view === 'present') repairFollowers(record);
    },
    /** Ends its part in the group: a promotion under way is left to the VMs that hold slots. */
    close: (): void => {
      isClosed = true;
      activeRun?.driver.close();
    },
  };
};

export default createGroupPromoter;
