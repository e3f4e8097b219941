import type ConfigurationEntry from './configurationEntry';

/** What a follower lacks: the changes after its revision, or the whole state. */
interface ConfigurationDifference {
  isSnapshot: boolean;
  entries: ConfigurationEntry[];
}

export default ConfigurationDifference;
