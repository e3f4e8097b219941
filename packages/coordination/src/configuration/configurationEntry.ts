/** A key of the platform's store as of `modRevision`; `valueJson` is undefined if deleted. */
interface ConfigurationEntry {
  key: string;
  valueJson: string | undefined;
  modRevision: number;
}

export default ConfigurationEntry;
