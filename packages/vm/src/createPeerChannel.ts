import { connectivityState, type ChannelCredentials } from '@grpc/grpc-js';
import { ForwardClient, PeerClient } from './generated/auburngrade/vm/v1/vm';
import NotSentError from './notSentError';

const CHANNEL_OPTIONS = {
  // Keepalive pings are sent only while calls are open; they fail on a dead connection within 2 s.
  'grpc.keepalive_time_ms': 1_000,
  'grpc.keepalive_timeout_ms': 1_000,
  // The default of 1 s would delay calls to a peer that starts shortly after the first attempt.
  'grpc.initial_reconnect_backoff_ms': 50,
  'grpc.max_reconnect_backoff_ms': 200,
  // No limit here: the size of statements is checked on arrival from callers, results have no limit.
  'grpc.max_receive_message_length': -1,
  // A channel that replaces a stalled one must not share its connection attempt.
  'grpc.use_local_subchannel_pool': 1,
};

/** gRPC sets no time limit: an attempt whose first packets were lost would never fail. */
const CONNECT_TIMEOUT_MS = 1_000;
/** How long a call waits for a connection before it fails, so that the request can go elsewhere. */
const CONNECTION_WAIT_MS = 300;

/** Creates one channel for all services of the VM at `address`, and replaces it when it stalls. */
const createPeerChannel = (address: string, credentials: ChannelCredentials) => {
  const openClients = () => {
    const forward = new ForwardClient(address, credentials, CHANNEL_OPTIONS);
    const channelOverride = forward.getChannel();
    return { forward, peer: new PeerClient(address, credentials, { channelOverride }) };
  };
  let clients = openClients();
  let connectAttempt: Promise<void> | undefined;
  let isClosed = false;

  /** Open calls complete on the old channel. */
  const replaceClients = (): void => {
    if (isClosed) return;
    clients.forward.close();
    clients = openClients();
  };

  const isConnected = (): boolean =>
    clients.forward.getChannel().getConnectivityState(true) === connectivityState.READY;

  const connect = (): Promise<void> =>
    new Promise((resolve, reject) => {
      const channel = clients.forward.getChannel();
      const deadlineAtMs = Date.now() + CONNECT_TIMEOUT_MS;
      const checkState = (): void => {
        const state = channel.getConnectivityState(true);
        if (state === connectivityState.READY) {
          resolve();
        } else if (state === connectivityState.TRANSIENT_FAILURE || isClosed) {
          reject(new NotSentError(`no connection to ${address}`));
        } else {
          channel.watchConnectivityState(state, deadlineAtMs, (error) => {
            if (!error) {
              checkState();
              return;
            }
            replaceClients();
            reject(new NotSentError(`no connection to ${address} within ${CONNECT_TIMEOUT_MS} ms`));
          });
        }
      };
      checkState();
    });

  const waitForConnection = (connection: Promise<void>): Promise<void> =>
    new Promise((resolve, reject) => {
      const message = `no connection to ${address} within ${CONNECTION_WAIT_MS} ms`;
      const timer = setTimeout(() => reject(new NotSentError(message)), CONNECTION_WAIT_MS);
      connection.then(resolve, reject).finally(() => clearTimeout(timer));
    });

  return {
    /** Returns the clients once connected. @throws NotSentError after CONNECTION_WAIT_MS. */
    ready: async () => {
      if (!isConnected()) {
        connectAttempt ??= connect().finally(() => {
          connectAttempt = undefined;
        });
        await waitForConnection(connectAttempt);
      }
      return clients;
    },
    /** Replaces an established connection that no longer answers, since a new one may work. */
    replaceIfConnected: (): void => {
      if (isConnected()) replaceClients();
    },
    close: (): void => {
      isClosed = true;
      clients.forward.close();
    },
  };
};

export default createPeerChannel;
