import type { StepHandler } from '@auburngrade/coordination';
import type {
  ConfigurationUpdate,
  FollowRequest,
  ForwardedOutcome,
  ForwardedReply,
  ForwardedStatement,
  ForwardedStep,
  PeerMessage,
} from './generated/auburngrade/vm/v1/vm';

/** What a VM does for other VMs. */
abstract class PeerHandler {
  /** Runs a statement that another VM admitted; never rejects. */
  abstract execute(statement: ForwardedStatement): Promise<ForwardedOutcome>;

  /** Opens a transaction whose steps another VM admitted. */
  abstract openTransaction(): StepHandler<ForwardedStep, ForwardedReply>;

  /** Sends configuration updates until the returned function is called. */
  abstract follow(request: FollowRequest, send: (update: ConfigurationUpdate) => void): () => void;

  /** Answers one message of a registered kind. */
  abstract exchange(message: PeerMessage): Promise<PeerMessage>;
}

export default PeerHandler;
