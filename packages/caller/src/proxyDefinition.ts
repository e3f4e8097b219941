import { ProxyService } from './generated/auburngrade/caller/v1/caller';
import UnparsableRequest from './unparsableRequest';

const orUnparsable =
  <Request>(parse: (bytes: Buffer) => Request) =>
  (bytes: Buffer): Request | UnparsableRequest => {
    try {
      return parse(bytes);
    } catch {
      return new UnparsableRequest();
    }
  };

/** The service for callers, which answers a message that does not parse like any bad request. */
const proxyDefinition = {
  execute: {
    ...ProxyService.execute,
    requestDeserialize: orUnparsable(ProxyService.execute.requestDeserialize),
  },
  transact: {
    ...ProxyService.transact,
    requestDeserialize: orUnparsable(ProxyService.transact.requestDeserialize),
  },
} as const;

export default proxyDefinition;
