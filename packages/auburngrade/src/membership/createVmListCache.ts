import { documentKinds, type ConfigurationState } from '@auburngrade/coordination';

/**
 * Caches a value computed from the VM list until the list changes: computing it at each call
 * would cost time in proportion to the fleet.
 */
const createVmListCache = <Value>(
  configuration: ConfigurationState,
  compute: () => Value,
): (() => Value) => {
  let cached: { value: Value } | undefined;
  configuration.onChange((changed) => {
    if (changed.some(({ key }) => key.startsWith(documentKinds.vm.prefix))) cached = undefined;
  });
  return () => {
    cached ??= { value: compute() };
    return cached.value;
  };
};

export default createVmListCache;
