import {
  createPromotion,
  type ConfigurationState,
  type Promotion,
  type TermRecord,
} from '@auburngrade/coordination';
import type GroupHolder from '../groups/groupHolder';
import type Logger from '../log/logger';
import createTraceRecorder from '../traces/createTraceRecorder';
import recordPromotion from '../traces/recordPromotion';
import type createMemberControl from './createMemberControl';
import createPlan from './createPlan';
import createPromotionDriver from './createPromotionDriver';
import type createRecordWriter from './createRecordWriter';
import createTimeline from './createTimeline';
import type FailoverMetrics from './failoverMetrics';
import type PromotionReason from './promotionReason';

interface RunOptions {
  holder: GroupHolder;
  /** Names this start of this VM. */
  promoter: string;
  configuration: ConfigurationState;
  control: ReturnType<typeof createMemberControl>;
  writer: ReturnType<typeof createRecordWriter>;
  metrics: FailoverMetrics;
  logger: Logger;
  nowMs(): number;
  onOver(): void;
}

interface PromotionRun {
  promotion: Promotion;
  driver: ReturnType<typeof createPromotionDriver>;
}

/** Prepares one promotion of a group, and reports it in the log, the metrics and a trace. */
const createPromotionRun = (
  options: RunOptions,
  record: TermRecord,
  reason: PromotionReason,
  sinceMs: number,
): PromotionRun => {
  const { holder, promoter, configuration, control, writer, logger, nowMs } = options;
  const revision = configuration.revisionOf('term', holder.name) ?? 0;
  const plan = createPlan(holder, record, revision, promoter, reason);
  const startedAtMs = nowMs();
  const trace = `${holder.name}/${plan.term}/${promoter}`;
  const recorder = createTraceRecorder({ logger, decision: 'promotion', trace, startedAtMs });
  const promotion = recordPromotion(createPromotion(plan), plan, recorder, startedAtMs);
  const timeline = createTimeline(sinceMs);
  const labels = { group: holder.name, reason };

  const onOver = (phase: string): void => {
    options.metrics.promotions.inc({ ...labels, result: phase });
    options.onOver();
    const partsMs = timeline.partsMs();
    const fields = { ...labels, term: plan.term, primary: promotion.chosen(), partsMs };
    if (phase !== 'done') {
      logger.warn('failover.abandoned', fields);
      return;
    }
    logger.info('failover.completed', fields);
    Object.entries(partsMs).forEach(([part, valueMs]) =>
      options.metrics.partMs.observe({ group: holder.name, part }, valueMs),
    );
  };

  logger.info('failover.started', { ...labels, term: plan.term, previous: record.primary });
  const driver = createPromotionDriver({
    holder,
    promotion,
    control,
    writer,
    timeline,
    nowMs,
    onOver,
  });
  return { promotion, driver };
};

export default createPromotionRun;
