import type { Promotion, PromotionPlan } from '@auburngrade/coordination';
import type TraceRecorder from './traceRecorder';

/** Records a promotion attempt: its plan, each event, and the actions and phase that follow. */
const recordPromotion = (
  promotion: Promotion,
  plan: PromotionPlan,
  recorder: TraceRecorder,
  startedAtMs: number,
): Promotion => {
  recorder.event('plan', plan, startedAtMs);
  return {
    ...promotion,
    handle: (event, nowMs) => {
      const actions = promotion.handle(event, nowMs);
      recorder.event('handle', event, nowMs);
      recorder.expect('actions', actions, nowMs);
      recorder.expect('phase', promotion.phase(), nowMs);
      return actions;
    },
  };
};

export default recordPromotion;
