import { createReplyMatcher } from '@auburngrade/coordination';
import { credentials, Metadata, type ChannelCredentials } from '@grpc/grpc-js';
import createLivenessProbe from './createLivenessProbe';
import createPeerChannel from './createPeerChannel';
import PING_KIND from './pingKind';
import type {
  ForwardedOutcome,
  ForwardedReply,
  ForwardedStatement,
  ForwardedStep,
  PeerMessage,
} from './generated/auburngrade/vm/v1/vm';

/** Added to a request's timeout: the other VM's refusal is more specific than an expired deadline. */
const DEADLINE_MARGIN_MS = 300;
const PING: PeerMessage = { fromVm: '', incarnation: 0, kind: PING_KIND, bodyJson: '{}' };
const PING_TIMEOUT_MS = 300;

/** Creates a client of another VM at `host:port`; calls reject with a gRPC status or NeverSentError. */
const createPeerClient = (
  address: string,
  channelCredentials: ChannelCredentials = credentials.createInsecure(),
) => {
  const channel = createPeerChannel(address, channelCredentials);

  const send = async (message: PeerMessage, timeoutMs: number): Promise<PeerMessage> => {
    const { peer } = await channel.ready();
    return new Promise((resolve, reject) => {
      const options = { deadline: Date.now() + timeoutMs };
      peer.exchange(message, new Metadata(), options, (error, reply) => {
        if (error) reject(error);
        else resolve(reply);
      });
    });
  };

  const livenessProbe = createLivenessProbe({
    ping: () => send(PING, PING_TIMEOUT_MS),
    onSilent: channel.replaceIfConnected,
    nowMs: () => performance.now(),
  });

  const connectedClients = () =>
    channel.ready().catch((error) => {
      livenessProbe.markSilent();
      throw error;
    });

  return {
    /** Runs a statement; `onSilent` is called if the VM stops answering before the outcome arrives. */
    execute: async (
      statement: ForwardedStatement,
      onSilent?: () => void,
    ): Promise<ForwardedOutcome> => {
      const { forward } = await connectedClients();
      const call = (): Promise<ForwardedOutcome> =>
        new Promise((resolve, reject) => {
          const deadline = Date.now() + statement.timeoutMs + DEADLINE_MARGIN_MS;
          forward.execute(statement, new Metadata(), { deadline }, (error, outcome) => {
            if (error) reject(error);
            else resolve(outcome);
          });
        });
      return livenessProbe.track(call, onSilent);
    },
    /** Opens a transaction; `step` resolves with the reply that has the same step number. */
    transact: async (timeoutMs: number) => {
      const { forward } = await connectedClients();
      const stream = forward.transact(new Metadata(), {
        deadline: Date.now() + timeoutMs + DEADLINE_MARGIN_MS,
      });
      const matcher = createReplyMatcher<ForwardedReply>();
      stream.on('data', matcher.resolveReply);
      stream.on('error', matcher.fail);
      stream.on('end', () =>
        matcher.fail(new Error('transaction stream was ended by the other VM')),
      );
      return {
        /** Runs one step; `onSilent` is called if the VM stops answering before the reply arrives. */
        step: (
          body: NonNullable<ForwardedStep['body']>,
          onSilent?: () => void,
        ): Promise<ForwardedReply> => {
          const { step, reply } = matcher.allocateStep();
          if (!matcher.hasFailed()) stream.write({ step, body });
          return livenessProbe.track(() => reply, onSilent);
        },
        isLost: matcher.hasFailed,
        end: (): void => {
          stream.end();
        },
        cancel: (): void => stream.cancel(),
      };
    },
    exchange: (message: PeerMessage, timeoutMs: number): Promise<PeerMessage> =>
      livenessProbe.track(() => send(message, timeoutMs)),
    /** Whether the VM was unreachable or did not answer at the last attempt. */
    isSilent: livenessProbe.isSilent,
    close: (): void => {
      livenessProbe.close();
      channel.close();
    },
  };
};

export default createPeerClient;
