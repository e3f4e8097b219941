import type documentKinds from './documentKinds';

/** The name of a kind of document in the platform's store. */
type DocumentKind = keyof typeof documentKinds;

export default DocumentKind;
