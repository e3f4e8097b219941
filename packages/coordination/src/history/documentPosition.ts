/** Place of a document's contents in the order of all that were ever written under its key. */
interface DocumentPosition {
  /** Version that the document states itself; 0 for documents that are ordered by the store alone. */
  version: number;
  /** Era of the store in which it was written: revisions of different eras are not comparable. */
  era: number;
  /** The store's revision. */
  revision: number;
}

export default DocumentPosition;
