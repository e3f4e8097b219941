import type FleetConfiguration from './fleetConfiguration';
import type GroupEndpoint from './groupEndpoint';

/** Decodes entries that others write to the platform's store; undefined for invalid ones. */
abstract class StoredValueDecoder {
  /** Prefix of all keys that operators write. */
  abstract readonly operatorPrefix: string;

  /** Key of the operator's configuration, and key prefix under which endpoints register. */
  abstract readonly configurationKey: string;

  /** Followed by the name of a data centre that operators evacuate. */
  abstract readonly evacuationPrefix: string;

  abstract readonly endpointPrefix: string;

  abstract configuration(value: string): FleetConfiguration | undefined;
  abstract endpoint(key: string, value: string): GroupEndpoint | undefined;
}

export default StoredValueDecoder;
