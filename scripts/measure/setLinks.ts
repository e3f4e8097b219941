import type { FaultMode, Fleet } from '@auburngrade/testkit';

/** Sets the mode of each link from a VM to a target that the filter wants. */
const setLinks = (
  fleet: Fleet,
  mode: FaultMode,
  isWanted: (fromDataCentre: string, targetDataCentre: string, target: string) => boolean,
): void => {
  fleet.names.forEach(({ vm, dataCentre }) => {
    const targets = [
      { name: 'platform', dataCentre: 'platform' },
      ...fleet.members.map(({ name, dataCentre: place }) => ({ name, dataCentre: place })),
      ...fleet.names
        .filter((other) => other.vm !== vm)
        .map((other) => ({ name: other.vm, dataCentre: other.dataCentre })),
    ];
    targets
      .filter((target) => isWanted(dataCentre, target.dataCentre, target.name))
      .forEach(({ name }) => fleet.link(vm, name).setMode(mode));
  });
};

export default setLinks;
