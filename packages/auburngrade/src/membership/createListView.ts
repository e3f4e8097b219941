import { documentKinds, type ConfigurationState } from '@auburngrade/coordination';

/**
 * A value worked out from the list of VMs: again when it is asked for after a change of the
 * list, and not each time, as the list grows with the fleet.
 */
const createListView = <Value>(
  configuration: ConfigurationState,
  workOut: () => Value,
): (() => Value) => {
  let known: { value: Value } | undefined;
  configuration.onChange((changed) => {
    if (changed.some(({ key }) => key.startsWith(documentKinds.vm.prefix))) known = undefined;
  });
  return () => {
    known ??= { value: workOut() };
    return known.value;
  };
};

export default createListView;
