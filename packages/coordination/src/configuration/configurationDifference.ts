import type ConfigurationEntry from './configurationEntry';

/** The changes after a follower's revision, or all documents if `isSnapshot`. */
interface ConfigurationDifference {
  isSnapshot: boolean;
  entries: ConfigurationEntry[];
}

export default ConfigurationDifference;
