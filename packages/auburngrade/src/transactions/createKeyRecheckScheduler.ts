import { documentKinds, type ConfigurationState } from '@auburngrade/coordination';

/**
 * Without any configuration change, keys stop being accepted 4.5 s after the last confirmation.
 * The rest of the 5 s bound is for the recheck.
 */
const RECHECK_INTERVAL_MS = 400;

/** Returns a function with which idle transactions and waiting requests subscribe to key rechecks. */
const createKeyRecheckScheduler = (configuration: ConfigurationState) => {
  const rechecks = new Set<() => void>();
  const recheckAll = (): void => rechecks.forEach((recheck) => recheck());
  configuration.onChange((changed) => {
    const prefixes = [documentKinds.key.prefix, documentKinds.profile.prefix];
    const hasKeyChange = changed.some(({ key }) =>
      prefixes.some((prefix) => key.startsWith(prefix)),
    );
    if (hasKeyChange) recheckAll();
  });
  setInterval(recheckAll, RECHECK_INTERVAL_MS).unref();

  return (recheck: () => void): (() => void) => {
    rechecks.add(recheck);
    return () => rechecks.delete(recheck);
  };
};

export default createKeyRecheckScheduler;
