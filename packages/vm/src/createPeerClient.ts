import { createReplyMatcher } from '@auburngrade/coordination';
import { credentials, Metadata, type ChannelCredentials } from '@grpc/grpc-js';
import {
  ForwardClient,
  PeerClient,
  type ForwardedOutcome,
  type ForwardedReply,
  type ForwardedStatement,
  type ForwardedStep,
  type PeerMessage,
} from './generated/auburngrade/vm/v1/vm';

const CHANNEL_OPTIONS = {
  // Pings go out only while calls are open: a silent link fails them within two seconds.
  'grpc.keepalive_time_ms': 1_000,
  'grpc.keepalive_timeout_ms': 1_000,
  // A peer that starts a moment later must not be missed for the default of a second.
  'grpc.initial_reconnect_backoff_ms': 50,
  'grpc.max_reconnect_backoff_ms': 1_000,
};

/** The other VM's own refusal at the deadline says more than a call that ran out of time. */
const ANSWER_MARGIN_MS = 300;

/** Creates a client of another VM at `host:port`; calls reject with a gRPC status. */
const createPeerClient = (
  address: string,
  channelCredentials: ChannelCredentials = credentials.createInsecure(),
) => {
  const forward = new ForwardClient(address, channelCredentials, CHANNEL_OPTIONS);
  const peer = new PeerClient(address, channelCredentials, CHANNEL_OPTIONS);
  return {
    execute: (statement: ForwardedStatement): Promise<ForwardedOutcome> =>
      new Promise((resolve, reject) => {
        const deadline = Date.now() + statement.timeoutMs + ANSWER_MARGIN_MS;
        forward.execute(statement, new Metadata(), { deadline }, (error, outcome) => {
          if (error) reject(error);
          else resolve(outcome);
        });
      }),
    /** Opens a transaction; `step` resolves with the reply of the same number. */
    transact: (timeoutMs: number) => {
      const stream = forward.transact(new Metadata(), {
        deadline: Date.now() + timeoutMs + ANSWER_MARGIN_MS,
      });
      const matcher = createReplyMatcher<ForwardedReply>();
      stream.on('data', matcher.receive);
      stream.on('error', matcher.fail);
      stream.on('end', () => matcher.fail(new Error('the stream has ended')));
      return {
        step: (body: NonNullable<ForwardedStep['body']>): Promise<ForwardedReply> => {
          const { step, reply } = matcher.next();
          if (!matcher.isLost()) stream.write({ step, body });
          return reply;
        },
        isLost: matcher.isLost,
        end: (): void => {
          stream.end();
        },
        cancel: (): void => stream.cancel(),
      };
    },
    exchange: (message: PeerMessage, timeoutMs: number): Promise<PeerMessage> =>
      new Promise((resolve, reject) => {
        peer.exchange(
          message,
          new Metadata(),
          { deadline: Date.now() + timeoutMs },
          (error, reply) => {
            if (error) reject(error);
            else resolve(reply);
          },
        );
      }),
    close: (): void => [forward, peer].forEach((client) => client.close()),
  };
};

export default createPeerClient;
