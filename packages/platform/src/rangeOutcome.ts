import type { ConfigurationEntry } from '@auburngrade/coordination';

/** All entries with a key prefix, as of `revision`. */
interface RangeOutcome {
  revision: number;
  entries: ConfigurationEntry[];
}

export default RangeOutcome;
