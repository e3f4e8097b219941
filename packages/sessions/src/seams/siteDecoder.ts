import type FleetConfiguration from './fleetConfiguration';
import type GroupEndpoint from './groupEndpoint';

/** Decodes what others write into the platform's store; undefined when it cannot be read. */
abstract class SiteDecoder {
  /** Key of the operator's configuration, and the prefix under which endpoints register. */
  abstract readonly configurationKey: string;

  abstract readonly endpointPrefix: string;

  abstract configuration(value: string): FleetConfiguration | undefined;
  abstract endpoint(key: string, value: string): GroupEndpoint | undefined;
}

export default SiteDecoder;
