import type {
  Promotion,
  PromotionAction,
  PromotionEvent,
  PromotionPhase,
} from '@auburngrade/coordination';
import type GroupHolder from '../groups/groupHolder';
import type createMemberControl from './createMemberControl';
import type createRecordWriter from './createRecordWriter';
import type createTimeline from './createTimeline';
import type FailoverPart from './failoverPart';

interface DriverOptions {
  holder: GroupHolder;
  promotion: Promotion;
  control: ReturnType<typeof createMemberControl>;
  writer: ReturnType<typeof createRecordWriter>;
  timeline: ReturnType<typeof createTimeline>;
  nowMs(): number;
  onOver(phase: PromotionPhase): void;
}

const PART_ENDED_BY: Partial<Record<PromotionAction['kind'], FailoverPart>> = {
  claim: 'detect',
  fence: 'cas',
  promote: 'fence',
  publish: 'promote',
};

/** Carries out the actions of one promotion and tells it what came of them. */
const createPromotionDriver = (options: DriverOptions) => {
  const { holder, promotion, control, writer, timeline, nowMs } = options;
  const running = new Set<string>();
  let isClosed = false;

  const perform = async (action: PromotionAction): Promise<PromotionEvent | undefined> => {
    switch (action.kind) {
      case 'claim':
      case 'publish':
        return writer.write(action.record, action.expectedRevision, () => !promotion.isOver());
      case 'fence':
        return { kind: 'status', status: await control.fence(action.member, action.term) };
      case 'promote': {
        const promoted = await control.promote(action.member, action.term);
        return { kind: 'promoted', member: action.member, ...promoted };
      }
      case 'follow': {
        const upstream = holder.group.members.find(({ name }) => name === action.upstream);
        if (upstream) await control.follow(action.member, action.term, upstream);
        return undefined;
      }
      default: {
        const status = await holder.pollMember(action.member);
        return status && { kind: 'status', status };
      }
    }
  };

  /** A refusal shows in the member's status when it is fenced at a later term. */
  const afterFailure = async (action: PromotionAction): Promise<PromotionEvent | undefined> => {
    if (!('member' in action)) return undefined;
    const isKnown = holder.group.members.some(({ name }) => name === action.member);
    const status = isKnown ? await holder.pollMember(action.member) : undefined;
    if (status && status.fencedTerm > promotion.term) return { kind: 'status', status };
    return { kind: 'failed', member: action.member };
  };

  const start = async (
    action: PromotionAction,
    report: (event: PromotionEvent) => void,
  ): Promise<void> => {
    const key = `${action.kind}/${'member' in action ? action.member : ''}`;
    if (running.has(key)) return;
    running.add(key);
    const event = await perform(action)
      .catch(() => afterFailure(action))
      .catch(() => undefined);
    running.delete(key);
    if (event && !isClosed) report(event);
  };

  const dispatch = (event: PromotionEvent): void => {
    if (promotion.isOver()) return;
    const actions = promotion.handle(event, nowMs());
    actions.forEach((action) => {
      const part = PART_ENDED_BY[action.kind];
      if (part) timeline.end(part, nowMs());
      start(action, dispatch);
    });
    if (promotion.phase() === 'done') timeline.end('publish', nowMs());
    if (promotion.isOver()) options.onOver(promotion.phase());
  };

  return {
    dispatch,
    close: (): void => {
      isClosed = true;
    },
  };
};

export default createPromotionDriver;
