import { documentKinds, type ConfigurationState } from '@auburngrade/coordination';

/** Also without a change of configuration a key may cease to be vouched for. */
const RECHECK_INTERVAL_MS = 1_000;

/** Gives the function by which an open transaction has its key checked while it is idle. */
const createKeyWatch = (configuration: ConfigurationState) => {
  const rechecks = new Set<() => void>();
  const recheckAll = (): void => rechecks.forEach((recheck) => recheck());
  configuration.onChange((changed) => {
    const prefixes = [documentKinds.key.prefix, documentKinds.profile.prefix];
    const isConcerned = changed.some(({ key }) =>
      prefixes.some((prefix) => key.startsWith(prefix)),
    );
    if (isConcerned) recheckAll();
  });
  setInterval(recheckAll, RECHECK_INTERVAL_MS).unref();

  return (recheck: () => void): (() => void) => {
    rechecks.add(recheck);
    return () => rechecks.delete(recheck);
  };
};

export default createKeyWatch;
