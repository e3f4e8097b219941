import type { StepHandler } from '@auburngrade/coordination';
import type {
  ConfigurationUpdate,
  ForwardedOutcome,
  ForwardedReply,
  ForwardedStatement,
  ForwardedStep,
  PeerMessage,
} from './generated/auburngrade/vm/v1/vm';
import type FollowSession from './followSession';

/** What a VM does for other VMs. */
abstract class PeerHandler {
  /** Runs a statement that another VM admitted; never rejects. */
  abstract execute(statement: ForwardedStatement): Promise<ForwardedOutcome>;

  /** Opens a transaction whose steps another VM admitted. */
  abstract openTransaction(): StepHandler<ForwardedStep, ForwardedReply>;

  /** Serves configuration to one VM until its session is closed. */
  abstract follow(send: (update: ConfigurationUpdate) => void): FollowSession;

  /** Answers one message of a registered kind. */
  abstract exchange(message: PeerMessage): Promise<PeerMessage>;
}

export default PeerHandler;
