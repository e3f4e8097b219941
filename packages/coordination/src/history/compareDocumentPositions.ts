import type DocumentPosition from './documentPosition';

/**
 * Orders two states of a document: negative if `a` is older than `b`. The document's own version goes before
 * the store's era, since a restored store may return an older version in a newer era.
 */
const compareDocumentPositions = (a: DocumentPosition, b: DocumentPosition): number =>
  a.version - b.version || a.era - b.era || a.revision - b.revision;

export default compareDocumentPositions;
