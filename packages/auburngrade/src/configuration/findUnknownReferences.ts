import type { ConfigurationState, DocumentKind, Profile } from '@auburngrade/coordination';

/** Names in a profile that no document bears yet; the profile is accepted with a warning. */
const findUnknownReferences = (
  configuration: ConfigurationState,
  kind: DocumentKind,
  document: unknown,
): string[] => {
  if (kind !== 'profile') return [];
  const { accounts, groups } = document as Profile;
  const listMissing = (referencedKind: 'account' | 'group', names: string[]): string[] =>
    names
      .filter((name) => !configuration.get(referencedKind, name))
      .map((name) => `${referencedKind} ${name}`);
  return [...listMissing('account', accounts), ...listMissing('group', groups)];
};

export default findUnknownReferences;
