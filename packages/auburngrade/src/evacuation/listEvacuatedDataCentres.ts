import type { ConfigurationState } from '@auburngrade/coordination';

/** Names of the data centres that operators evacuate, as this VM knows them. */
const listEvacuatedDataCentres = (
  configuration: Pick<ConfigurationState, 'list'>,
): ReadonlySet<string> =>
  new Set(
    [...configuration.list('dataCentre')]
      .filter(([, { state }]) => state === 'evacuated')
      .map(([name]) => name),
  );

export default listEvacuatedDataCentres;
