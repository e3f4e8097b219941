import { credentials, type ChannelCredentials } from '@grpc/grpc-js';
import {
  ConfigurationClient,
  FollowRequest,
  type ConfigurationUpdate,
} from './generated/auburngrade/vm/v1/vm';

/** Without a shared subchannel pool, a new client does not reuse an unresponsive connection. */
const CHANNEL_OPTIONS = { 'grpc.use_local_subchannel_pool': 1 };

interface FollowListener {
  onUpdate(update: ConfigurationUpdate): void;
  onEnd(reason: string): void;
}

/** Opens a stream of configuration updates from the VM at `host:port`. */
const createFollowClient = (
  address: string,
  listener: FollowListener,
  channelCredentials: ChannelCredentials = credentials.createInsecure(),
) => {
  const client = new ConfigurationClient(address, channelCredentials, CHANNEL_OPTIONS);
  const stream = client.follow();
  stream.on('data', (update: ConfigurationUpdate) => listener.onUpdate(update));
  stream.on('error', (error: Error) => listener.onEnd(error.message));
  stream.on('end', () => listener.onEnd('configuration stream was ended by the other VM'));
  return {
    send: (request: FollowRequest): void => {
      stream.write(request);
    },
    close: (): void => {
      stream.cancel();
      client.close();
    },
  };
};

export default createFollowClient;
