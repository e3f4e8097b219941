import { ProxyService } from './generated/auburngrade/caller/v1/caller';
import MalformedRequest from './malformedRequest';

const orMalformed =
  <Request>(parse: (bytes: Buffer) => Request) =>
  (bytes: Buffer): Request | MalformedRequest => {
    try {
      return parse(bytes);
    } catch {
      return new MalformedRequest();
    }
  };

/** Definition of the Proxy service. A malformed message is parsed to a MalformedRequest, so that the
 * handler can answer it with a `badRequest` refusal. */
const proxyServiceDefinition = {
  execute: {
    ...ProxyService.execute,
    requestDeserialize: orMalformed(ProxyService.execute.requestDeserialize),
  },
  transact: {
    ...ProxyService.transact,
    requestDeserialize: orMalformed(ProxyService.transact.requestDeserialize),
  },
} as const;

export default proxyServiceDefinition;
