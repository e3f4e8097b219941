import type DocumentKind from './documentKind';
import documentKinds from './documentKinds';

const KINDS = Object.keys(documentKinds) as DocumentKind[];

/** The kind of the document that is stored under a key of the platform, if any. */
const kindOfKey = (key: string): DocumentKind | undefined =>
  KINDS.find((kind) => key.startsWith(documentKinds[kind].prefix));

export default kindOfKey;
