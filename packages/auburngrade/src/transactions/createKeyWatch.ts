import { documentKinds, type ConfigurationState } from '@auburngrade/coordination';

/**
 * Also without a change of configuration a key may cease to be vouched for, 4.5 s after the last
 * confirmation; the rest of 5 s is for the check.
 */
const RECHECK_INTERVAL_MS = 400;

/** Gives the function by which an idle transaction or a waiting request has its key checked. */
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
