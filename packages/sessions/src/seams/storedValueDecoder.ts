import type FleetConfiguration from './fleetConfiguration';
import type GroupEndpoint from './groupEndpoint';

/** Decodes entries that others write to the platform's store; undefined for invalid ones. */
abstract class StoredValueDecoder {
  /** Key of the operator's configuration, and key prefix under which endpoints register. */
  abstract readonly configurationKey: string;

  abstract readonly endpointPrefix: string;

  abstract configuration(value: string): FleetConfiguration | undefined;
  abstract endpoint(key: string, value: string): GroupEndpoint | undefined;
}

export default StoredValueDecoder;
