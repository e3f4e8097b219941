import type { ConfigurationState, DocumentKind, Profile } from '@auburngrade/coordination';

/** Names in a profile that no document bears yet; the profile is accepted with a warning. */
const unknownReferences = (
  configuration: ConfigurationState,
  kind: DocumentKind,
  document: unknown,
): string[] => {
  if (kind !== 'profile') return [];
  const { accounts, groups } = document as Profile;
  const missing = (of: 'account' | 'group', names: string[]): string[] =>
    names.filter((name) => !configuration.get(of, name)).map((name) => `${of} ${name}`);
  return [...missing('account', accounts), ...missing('group', groups)];
};

export default unknownReferences;
