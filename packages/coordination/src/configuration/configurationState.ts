import type ConfigurationDifference from './configurationDifference';
import type ConfigurationEntry from './configurationEntry';
import type DocumentKind from './documentKind';
import type DocumentOf from './documentOf';

/** A VM's copy of the platform's documents; revisions only go up. */
interface ConfigurationState {
  /** Revision up to which every change is known. */
  revision(): number;
  /** Applies changes that are complete up to `revision`; older ones are ignored. */
  applyChanges(revision: number, entries: readonly ConfigurationEntry[]): void;
  /** Replaces the whole state unless `revision` is older than the known one; no key goes back. */
  applySnapshot(revision: number, entries: readonly ConfigurationEntry[]): void;
  get<Kind extends DocumentKind>(kind: Kind, name: string): DocumentOf<Kind> | undefined;
  revisionOf(kind: DocumentKind, name: string): number | undefined;
  names(kind: DocumentKind): string[];
  /** Parses each document of the kind; `names` is cheaper where names do. */
  list<Kind extends DocumentKind>(kind: Kind): Map<string, DocumentOf<Kind>>;
  entries(): ConfigurationEntry[];
  /** What someone who knows every change up to `revision` lacks. */
  since(revision: number): ConfigurationDifference;
  /** Calls the listener after each change; returns the function that removes it. */
  onChange(listener: (changed: readonly ConfigurationEntry[]) => void): () => void;
}

export default ConfigurationState;
