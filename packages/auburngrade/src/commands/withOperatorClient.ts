import { createOperatorClient } from '@auburngrade/operator';
import createChannelCredentials from './createChannelCredentials';

interface OperatorConnection {
  address: string;
  'timeout-ms': number;
  ca?: string;
  cert?: string;
  'tls-key'?: string;
}

type OperatorClient = ReturnType<typeof createOperatorClient>;

/** Opens a client of a VM's service for operators for the time of one use. */
const withOperatorClient = async <Result>(
  flags: OperatorConnection,
  use: (client: OperatorClient) => Promise<Result>,
): Promise<Result> => {
  const channelCredentials = createChannelCredentials(flags);
  const client = createOperatorClient(flags.address, flags['timeout-ms'], channelCredentials);
  try {
    return await use(client);
  } finally {
    client.close();
  }
};

export default withOperatorClient;
