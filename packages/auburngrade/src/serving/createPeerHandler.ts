import {
  decodeSessionToken,
  toRefusal,
  type StatementOutcome,
  type StatementRequest,
  type StepHandler,
  type TransactionRequest,
} from '@auburngrade/coordination';
import {
  PeerHandler,
  type ConfigurationUpdate,
  type FollowSession,
  type ForwardedOutcome,
  type ForwardedReply,
  type ForwardedStatement,
  type ForwardedStep,
  type PeerMessage,
} from '@auburngrade/vm';
import answerByCutOff from '../shutdown/answerByCutOff';
import createCutOffRefusal from '../shutdown/createCutOffRefusal';
import type WorkTracker from '../shutdown/workTracker';
import createForwardedTransaction from '../transactions/createForwardedTransaction';
import type Transaction from '../transactions/transaction';
import type MessageHandler from '../membership/messageHandler';

interface PeerHandlerOptions {
  vm: string;
  incarnation: number;
  executeLocally(request: StatementRequest): Promise<StatementOutcome>;
  beginLocally(request: TransactionRequest): Promise<Transaction>;
  /** Counts work until the returned function is called; throws a refusal while the VM shuts down. */
  beginWork(): () => void;
  /** Calls the listener when the VM, which shuts down, waits for work no longer. */
  onCutOff: WorkTracker['onCutOff'];
  /** Handlers of messages between VMs, by message kind. */
  messageHandlers: ReadonlyMap<string, MessageHandler>;
  /** Serves configuration to another VM. */
  openFollowSession(send: (update: ConfigurationUpdate) => void): FollowSession;
  nowMs(): number;
}

class DaemonPeerHandler extends PeerHandler {
  constructor(private readonly options: PeerHandlerOptions) {
    super();
  }

  override async execute(statement: ForwardedStatement): Promise<ForwardedOutcome> {
    let endWork = (): void => {};
    try {
      endWork = this.options.beginWork();
      const execution = this.options.executeLocally({
        requestId: statement.requestId,
        account: statement.account || undefined,
        keyHash: statement.keyHash || undefined,
        profile: statement.profile,
        group: statement.group,
        write: statement.write,
        sql: statement.sql,
        parameters: statement.parameters.map(({ text }) => text ?? null),
        sessionToken: decodeSessionToken(statement.sessionToken),
        deadlineAtMs: this.options.nowMs() + statement.timeoutMs,
      });
      const outcome = await answerByCutOff(execution, this.options.onCutOff, () =>
        createCutOffRefusal('mayHaveRun'),
      );
      return { verdict: 'ran', bodyJson: JSON.stringify(outcome) };
    } catch (error) {
      const refusal = toRefusal(error);
      return { verdict: refusal.verdict, bodyJson: JSON.stringify(refusal) };
    } finally {
      endWork();
    }
  }

  override openTransaction(): StepHandler<ForwardedStep, ForwardedReply> {
    return createForwardedTransaction({ ...this.options, begin: this.options.beginLocally });
  }

  override follow(send: (update: ConfigurationUpdate) => void): FollowSession {
    return this.options.openFollowSession(send);
  }

  override async exchange(message: PeerMessage): Promise<PeerMessage> {
    const handler = this.options.messageHandlers.get(message.kind);
    const reply = handler
      ? await handler(message.fromVm, JSON.parse(message.bodyJson))
      : { error: 'unknown message kind' };
    return {
      fromVm: this.options.vm,
      incarnation: this.options.incarnation,
      kind: message.kind,
      bodyJson: JSON.stringify(reply),
    };
  }
}

/** Creates the handler of requests from other VMs: statements, transactions, configuration, messages. */
const createPeerHandler = (options: PeerHandlerOptions): PeerHandler =>
  new DaemonPeerHandler(options);

export default createPeerHandler;
