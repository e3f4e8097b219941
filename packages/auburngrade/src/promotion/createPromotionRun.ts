import {
  createPromotion,
  type ConfigurationState,
  type Promotion,
  type TermRecord,
} from '@auburngrade/coordination';
import eligibleMemberNames from '../evacuation/eligibleMemberNames';
import type GroupClient from '../groups/groupClient';
import type Logger from '../log/logger';
import createTraceRecorder from '../traces/createTraceRecorder';
import recordPromotion from '../traces/recordPromotion';
import type createMemberControl from './createMemberControl';
import createPromotionPlan from './createPromotionPlan';
import createPromotionDriver from './createPromotionDriver';
import type createTermRecordWriter from './createTermRecordWriter';
import createFailoverTimer from './createFailoverTimer';
import type FailoverMetrics from './failoverMetrics';
import type PromotionReason from './promotionReason';

interface RunOptions {
  groupClient: GroupClient;
  /** Identifies this process: VM id and incarnation; a restarted VM is another promoter. */
  promoter: string;
  configuration: ConfigurationState;
  control: ReturnType<typeof createMemberControl>;
  writer: ReturnType<typeof createTermRecordWriter>;
  metrics: FailoverMetrics;
  logger: Logger;
  nowMs(): number;
  onFinished(): void;
}

interface PromotionRun {
  promotion: Promotion;
  driver: ReturnType<typeof createPromotionDriver>;
  /** Members that could become primary when the attempt was planned. */
  eligible: readonly string[];
}

/** Prepares one promotion attempt of a group; reports its outcome to log, metrics and trace. */
const createPromotionRun = (
  options: RunOptions,
  record: TermRecord,
  reason: PromotionReason,
  dueSinceMs: number,
): PromotionRun => {
  const { groupClient, promoter, configuration, control, writer, logger, nowMs } = options;
  const revision = configuration.getDocumentRevision('term', groupClient.name) ?? 0;
  const plan = createPromotionPlan(groupClient, configuration, record, revision, promoter, reason);
  const startedAtMs = nowMs();
  const trace = `${groupClient.name}/${plan.term}/${promoter}`;
  const recorder = createTraceRecorder({ logger, decision: 'promotion', trace, startedAtMs });
  const promotion = recordPromotion(createPromotion(plan), plan, recorder, startedAtMs);
  const failoverTimer = createFailoverTimer(dueSinceMs);
  const labels = { group: groupClient.name, reason };

  const onFinished = (phase: string): void => {
    options.metrics.promotions.inc({ ...labels, result: phase });
    options.onFinished();
    const partsMs = failoverTimer.partsMs();
    const fields = { ...labels, term: plan.term, primary: promotion.getNewPrimary(), partsMs };
    if (phase !== 'done') {
      logger.warn('failover.abandoned', fields);
      return;
    }
    logger.info('failover.completed', fields);
    Object.entries(partsMs).forEach(([part, durationMs]) =>
      options.metrics.partDurationMs.observe({ group: groupClient.name, part }, durationMs),
    );
  };

  logger.info('failover.started', { ...labels, term: plan.term, previous: record.primary });
  const driver = createPromotionDriver({
    groupClient,
    promotion,
    control,
    writer,
    failoverTimer,
    nowMs,
    onFinished,
  });
  return { promotion, driver, eligible: eligibleMemberNames(groupClient.group, configuration) };
};

export default createPromotionRun;
