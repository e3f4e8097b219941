import type { ConfigurationState, DocumentKind, Profile } from '@auburngrade/coordination';

/** Whether a VM or an endpoint is in the data centre, so that a misspelt name is noticed. */
const isDataCentreKnown = (configuration: ConfigurationState, dataCentre: string): boolean =>
  [...configuration.list('vm').values()].some((vm) => vm.dataCentre === dataCentre) ||
  [...configuration.list('group').values()].some(({ members }) =>
    members.some((member) => member.dataCentre === dataCentre),
  );

/** Lists what a document refers to but does not exist yet; callers only warn. */
const findUnknownReferences = (
  configuration: ConfigurationState,
  kind: DocumentKind,
  name: string,
  document: unknown,
): string[] => {
  if (kind === 'dataCentre')
    return isDataCentreKnown(configuration, name) ? [] : [`data centre ${name}`];
  if (kind !== 'profile') return [];
  const { accounts, groups } = document as Profile;
  const listMissing = (referencedKind: 'account' | 'group', names: string[]): string[] =>
    names
      .filter((referenced) => !configuration.get(referencedKind, referenced))
      .map((referenced) => `${referencedKind} ${referenced}`);
  return [...listMissing('account', accounts), ...listMissing('group', groups)];
};

export default findUnknownReferences;
