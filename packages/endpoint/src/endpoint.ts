import type EndpointConnection from './endpointConnection';

/** A database endpoint that connections can be opened to. */
abstract class Endpoint {
  /** Opens a connection. @throws EndpointError `notSent` when it can't be opened in time. */
  abstract connect(timeoutMs: number): Promise<EndpointConnection>;
}

export default Endpoint;
