import { credentials, Metadata, type ChannelCredentials } from '@grpc/grpc-js';
import {
  ConfigurationClient,
  ForwardClient,
  PeerClient,
  type ConfigurationUpdate,
  type ForwardedOutcome,
  type ForwardedStatement,
  type PeerMessage,
} from './generated/auburngrade/vm/v1/vm';

const CHANNEL_OPTIONS = {
  // Pings go out only while calls are open: a silent link fails them within two seconds.
  'grpc.keepalive_time_ms': 1_000,
  'grpc.keepalive_timeout_ms': 1_000,
  'grpc.max_reconnect_backoff_ms': 1_000,
};

/** Creates a client of another VM at `host:port`; calls reject with a gRPC status. */
const createPeerClient = (
  address: string,
  channelCredentials: ChannelCredentials = credentials.createInsecure(),
) => {
  const forward = new ForwardClient(address, channelCredentials, CHANNEL_OPTIONS);
  const configuration = new ConfigurationClient(address, channelCredentials, CHANNEL_OPTIONS);
  const peer = new PeerClient(address, channelCredentials, CHANNEL_OPTIONS);
  return {
    execute: (statement: ForwardedStatement): Promise<ForwardedOutcome> =>
      new Promise((resolve, reject) => {
        const deadline = Date.now() + statement.timeoutMs;
        forward.execute(statement, new Metadata(), { deadline }, (error, outcome) => {
          if (error) reject(error);
          else resolve(outcome);
        });
      }),
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
    follow: (
      vm: string,
      fromRevision: number,
      onUpdate: (update: ConfigurationUpdate) => void,
      onEnd: (reason: string) => void,
    ): (() => void) => {
      const stream = configuration.follow({ vm, fromRevision });
      stream.on('data', onUpdate);
      stream.on('error', (error) => onEnd(error.message));
      stream.on('end', () => onEnd('stream ended'));
      return () => stream.cancel();
    },
    close: (): void => [forward, configuration, peer].forEach((client) => client.close()),
  };
};

export default createPeerClient;
