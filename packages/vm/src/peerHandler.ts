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

/** Handles calls from other VMs. */
abstract class PeerHandler {
  /** Runs a statement that another VM admitted. Never rejects: refusals are part of the outcome. */
  abstract execute(statement: ForwardedStatement): Promise<ForwardedOutcome>;

  /** Opens a transaction whose steps another VM admitted. */
  abstract openTransaction(): StepHandler<ForwardedStep, ForwardedReply>;

  /** Streams configuration updates to one VM until the returned session is closed. */
  abstract follow(send: (update: ConfigurationUpdate) => void): FollowSession;

  /** Handles one message of a registered kind and returns the reply. */
  abstract exchange(message: PeerMessage): Promise<PeerMessage>;
}

export default PeerHandler;
