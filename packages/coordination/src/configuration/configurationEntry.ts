/** One key of the platform as seen at `modRevision`; a deleted key has no value. */
interface ConfigurationEntry {
  key: string;
  valueJson: string | undefined;
  modRevision: number;
}

export default ConfigurationEntry;
