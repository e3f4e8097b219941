import type ConfigurationDifference from './configurationDifference';
import type ConfigurationEntry from './configurationEntry';
import type DocumentKind from './documentKind';
import type DocumentOf from './documentOf';

/** A VM's copy of the documents in the platform's store. No key returns to an earlier revision. */
interface ConfigurationState {
  /** Returns the revision up to which every change is known. */
  revision(): number;
  /**
   * Applies every change from the known revision up to `revision`; earlier ones are ignored, except
   * those of an earlier era that the store lost in a restore before this VM saw them.
   */
  applyChanges(revision: number, entries: readonly ConfigurationEntry[]): void;
  /**
   * Replaces all documents, unless `revision` is lower than the known one. `isFromStore` is false for
   * what another VM knows; the default is true.
   */
  applySnapshot(
    revision: number,
    entries: readonly ConfigurationEntry[],
    isFromStore?: boolean,
  ): void;
  /**
   * Revision from which another VM has to be asked for changes of earlier eras, which the store has
   * lost; undefined when none has to be asked.
   */
  catchUpRevision(): number | undefined;
  /** To be called when another VM has sent what it knows since `catchUpRevision`. */
  completeCatchUp(): void;
  get<Kind extends DocumentKind>(kind: Kind, name: string): DocumentOf<Kind> | undefined;
  getDocumentRevision(kind: DocumentKind, name: string): number | undefined;
  listNames(kind: DocumentKind): string[];
  /** Parses every document of the kind; listing only the names is cheaper. */
  list<Kind extends DocumentKind>(kind: Kind): Map<string, DocumentOf<Kind>>;
  entries(): ConfigurationEntry[];
  /** Returns what a follower that knows every change up to `revision` has to receive. */
  getDifferenceSince(revision: number): ConfigurationDifference;
  /** Calls the listener after each change; returns a function that removes the listener. */
  onChange(listener: (changed: readonly ConfigurationEntry[]) => void): () => void;
}

export default ConfigurationState;
