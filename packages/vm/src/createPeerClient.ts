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

/** The other VM's own refusal at the deadline says more than a call that ran out of time. */
const ANSWER_MARGIN_MS = 300;
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

  const liveness = createLivenessProbe({
    ping: () => send(PING, PING_TIMEOUT_MS),
    onSilent: channel.leaveSilent,
    nowMs: () => performance.now(),
  });

  const ready = () =>
    channel.ready().catch((error) => {
      liveness.noteFailure();
      throw error;
    });

  return {
    /** Runs a statement; `onSilent` is called when the VM stops answering before the outcome is there. */
    execute: async (
      statement: ForwardedStatement,
      onSilent?: () => void,
    ): Promise<ForwardedOutcome> => {
      const { forward } = await ready();
      const call = (): Promise<ForwardedOutcome> =>
        new Promise((resolve, reject) => {
          const deadline = Date.now() + statement.timeoutMs + ANSWER_MARGIN_MS;
          forward.execute(statement, new Metadata(), { deadline }, (error, outcome) => {
            if (error) reject(error);
            else resolve(outcome);
          });
        });
      return liveness.track(call, onSilent);
    },
    /** Opens a transaction; `step` resolves with the reply of the same number. */
    transact: async (timeoutMs: number) => {
      const { forward } = await ready();
      const stream = forward.transact(new Metadata(), {
        deadline: Date.now() + timeoutMs + ANSWER_MARGIN_MS,
      });
      const matcher = createReplyMatcher<ForwardedReply>();
      stream.on('data', matcher.receive);
      stream.on('error', matcher.fail);
      stream.on('end', () => matcher.fail(new Error('the stream has ended')));
      return {
        /** `onSilent` is called when the VM stops answering before the reply is there. */
        step: (
          body: NonNullable<ForwardedStep['body']>,
          onSilent?: () => void,
        ): Promise<ForwardedReply> => {
          const { step, reply } = matcher.next();
          if (!matcher.isLost()) stream.write({ step, body });
          return liveness.track(() => reply, onSilent);
        },
        isLost: matcher.isLost,
        end: (): void => {
          stream.end();
        },
        cancel: (): void => stream.cancel(),
      };
    },
    exchange: (message: PeerMessage, timeoutMs: number): Promise<PeerMessage> =>
      liveness.track(() => send(message, timeoutMs)),
    /** Whether the VM could not be reached or did not answer when it was last tried. */
    isSilent: liveness.isSilent,
    close: (): void => {
      liveness.close();
      channel.close();
    },
  };
};

export default createPeerClient;
