import type { ConfigurationState, DocumentKind, Profile } from '@auburngrade/coordination';

/** Lists accounts and groups that a profile names but that do not exist yet; callers only warn. */
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
