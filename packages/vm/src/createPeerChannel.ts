import { connectivityState, type ChannelCredentials } from '@grpc/grpc-js';
import { ForwardClient, PeerClient } from './generated/auburngrade/vm/v1/vm';
import NeverSentError from './neverSentError';

const CHANNEL_OPTIONS = {
  // Pings go out only while calls are open: a silent link fails them within two seconds.
  'grpc.keepalive_time_ms': 1_000,
  'grpc.keepalive_timeout_ms': 1_000,
  // A peer that starts a moment later must not be missed for the default of a second.
  'grpc.initial_reconnect_backoff_ms': 50,
  'grpc.max_reconnect_backoff_ms': 200,
  // Statements are limited where callers send them; answers are as long as they are.
  'grpc.max_receive_message_length': -1,
  // A channel that replaces a stuck one must not share its connection attempt.
  'grpc.use_local_subchannel_pool': 1,
};

/** The library sets no limit: an attempt whose first bytes were lost would go on for good. */
const STUCK_AFTER_MS = 1_000;
/** How long a call waits for a connection before it is made elsewhere. */
const CALL_WAIT_MS = 300;

/** Opens the services of another VM over one connection, and opens it anew when it gets stuck. */
const createPeerChannel = (address: string, credentials: ChannelCredentials) => {
  const open = () => {
    const forward = new ForwardClient(address, credentials, CHANNEL_OPTIONS);
    const channelOverride = forward.getChannel();
    return { forward, peer: new PeerClient(address, credentials, { channelOverride }) };
  };
  let clients = open();
  let connecting: Promise<void> | undefined;
  let isClosed = false;

  /** Calls that are open go on over the old connection until they end. */
  const reopen = (): void => {
    if (isClosed) return;
    clients.forward.close();
    clients = open();
  };

  const isConnected = (): boolean =>
    clients.forward.getChannel().getConnectivityState(true) === connectivityState.READY;

  const connect = (): Promise<void> =>
    new Promise((resolve, reject) => {
      const channel = clients.forward.getChannel();
      const deadlineAtMs = Date.now() + STUCK_AFTER_MS;
      const check = (): void => {
        const state = channel.getConnectivityState(true);
        if (state === connectivityState.READY) {
          resolve();
        } else if (state === connectivityState.TRANSIENT_FAILURE || isClosed) {
          reject(new NeverSentError(`no connection to ${address}`));
        } else {
          channel.watchConnectivityState(state, deadlineAtMs, (error) => {
            if (!error) {
              check();
              return;
            }
            reopen();
            reject(new NeverSentError(`no connection to ${address} within ${STUCK_AFTER_MS} ms`));
          });
        }
      };
      check();
    });

  const waitBriefly = (connected: Promise<void>): Promise<void> =>
    new Promise((resolve, reject) => {
      const message = `no connection to ${address} within ${CALL_WAIT_MS} ms`;
      const timer = setTimeout(() => reject(new NeverSentError(message)), CALL_WAIT_MS);
      connected.then(resolve, reject).finally(() => clearTimeout(timer));
    });

  return {
    /** The clients once they are connected. @throws NeverSentError when they are not soon. */
    ready: async () => {
      if (!isConnected()) {
        connecting ??= connect().finally(() => {
          connecting = undefined;
        });
        await waitBriefly(connecting);
      }
      return clients;
    },
    /** Leaves a connection over which nothing comes back any more: a new one may work. */
    leaveSilent: (): void => {
      if (isConnected()) reopen();
    },
    close: (): void => {
      isClosed = true;
      clients.forward.close();
    },
  };
};

export default createPeerChannel;
