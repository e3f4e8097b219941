import type { ConfigurationEntry } from '@auburngrade/coordination';

/** All keys below a prefix, as of `revision`. */
interface RangeOutcome {
  revision: number;
  entries: ConfigurationEntry[];
}

export default RangeOutcome;
