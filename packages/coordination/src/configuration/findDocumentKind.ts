import type DocumentKind from './documentKind';
import documentKinds from './documentKinds';

const KINDS = Object.keys(documentKinds) as DocumentKind[];

/** Returns the kind of the documents stored under a key's prefix, undefined for other keys. */
const findDocumentKind = (key: string): DocumentKind | undefined =>
  KINDS.find((kind) => key.startsWith(documentKinds[kind].prefix));

export default findDocumentKind;
