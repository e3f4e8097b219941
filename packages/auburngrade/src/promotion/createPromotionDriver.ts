import type {
  Promotion,
  PromotionAction,
  PromotionEvent,
  PromotionPhase,
} from '@auburngrade/coordination';
import type GroupClient from '../groups/groupClient';
import type createMemberControl from './createMemberControl';
import type createTermRecordWriter from './createTermRecordWriter';
import type createFailoverTimer from './createFailoverTimer';
import type FailoverPart from './failoverPart';

interface DriverOptions {
  groupClient: GroupClient;
  promotion: Promotion;
  control: ReturnType<typeof createMemberControl>;
  writer: ReturnType<typeof createTermRecordWriter>;
  failoverTimer: ReturnType<typeof createFailoverTimer>;
  nowMs(): number;
  onFinished(phase: PromotionPhase): void;
}

const PART_ENDED_BY: Partial<Record<PromotionAction['kind'], FailoverPart>> = {
  claim: 'detect',
  fence: 'cas',
  promote: 'fence',
  publish: 'promote',
};

/** Executes the actions that a promotion asks for and feeds their results back to it as events. */
const createPromotionDriver = (options: DriverOptions) => {
  const { groupClient, promotion, control, writer, failoverTimer, nowMs } = options;
  const runningActions = new Set<string>();
  let isClosed = false;

  const isStillWanted = (): boolean => !isClosed && !promotion.isFinished();

  const runAction = async (action: PromotionAction): Promise<PromotionEvent | undefined> => {
    switch (action.kind) {
      case 'claim':
      case 'publish':
        return writer.write(action.record, action.expectedRevision, isStillWanted);
      case 'fence':
        return { kind: 'status', status: await control.fence(action.member, action.term) };
      case 'promote': {
        const promoted = await control.promote(action.member, action.term);
        return { kind: 'promoted', member: action.member, ...promoted };
      }
      case 'follow': {
        const upstream = groupClient.group.members.find(({ name }) => name === action.upstream);
        if (upstream) await control.follow(action.member, action.term, upstream);
        return undefined;
      }
      default: {
        const status = await groupClient.pollMember(action.member);
        return status && { kind: 'status', status };
      }
    }
  };

  /** Converts a failed action to an event: a later fence if the member's status shows one. */
  const toFailureEvent = async (action: PromotionAction): Promise<PromotionEvent | undefined> => {
    if (!('member' in action)) return undefined;
    const isKnown = groupClient.group.members.some(({ name }) => name === action.member);
    const status = isKnown ? await groupClient.pollMember(action.member) : undefined;
    if (status && status.fencedTerm > promotion.term) return { kind: 'status', status };
    return { kind: 'failed', member: action.member };
  };

  const startAction = async (
    action: PromotionAction,
    onEvent: (event: PromotionEvent) => void,
  ): Promise<void> => {
    const key = `${action.kind}/${'member' in action ? action.member : ''}`;
    if (runningActions.has(key)) return;
    runningActions.add(key);
    const event = await runAction(action)
      .catch(() => toFailureEvent(action))
      .catch(() => undefined);
    runningActions.delete(key);
    if (event && !isClosed) onEvent(event);
  };

  const dispatch = (event: PromotionEvent): void => {
    if (promotion.isFinished()) return;
    const actions = promotion.handle(event, nowMs());
    actions.forEach((action) => {
      const part = PART_ENDED_BY[action.kind];
      if (part) failoverTimer.end(part, nowMs());
      startAction(action, dispatch);
    });
    if (promotion.phase() === 'done') failoverTimer.end('publish', nowMs());
    if (promotion.isFinished()) options.onFinished(promotion.phase());
  };

  return {
    dispatch,
    close: (): void => {
      isClosed = true;
    },
  };
};

export default createPromotionDriver;
