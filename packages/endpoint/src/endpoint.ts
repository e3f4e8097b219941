import type EndpointConnection from './endpointConnection';

/** A database endpoint to which connections can be opened. */
abstract class Endpoint {
  /** Opens a connection. @throws EndpointError `notSent` when that fails or exceeds `timeoutMs`. */
  abstract connect(timeoutMs: number): Promise<EndpointConnection>;
}

export default Endpoint;
