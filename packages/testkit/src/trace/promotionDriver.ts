import {
  createPromotion,
  type Promotion,
  type PromotionAction,
  type PromotionEvent,
  type PromotionPlan,
} from '@auburngrade/coordination';
import TraceDriver from './traceDriver';

/** Feeds a promotion attempt; observes its phase and the actions that the last event caused. */
class PromotionDriver extends TraceDriver {
  private promotion: Promotion | undefined;

  private latest: PromotionAction[] = [];

  private readonly kinds: string[] = [];

  override apply(name: string, input: unknown, atMs: number): void {
    if (name === 'plan') {
      this.promotion = createPromotion(input as PromotionPlan);
      return;
    }
    this.latest = this.promotion?.handle(input as PromotionEvent, atMs) ?? [];
    this.kinds.push(...this.latest.map(({ kind }) => kind));
  }

  override observe(name: string): unknown {
    if (name === 'phase') return this.promotion?.phase();
    // A trace leaves out fields without a value.
    return JSON.parse(JSON.stringify(this.latest));
  }

  /** The kinds of all actions so far, in order. */
  actionKinds(): readonly string[] {
    return this.kinds;
  }
}

export default PromotionDriver;
