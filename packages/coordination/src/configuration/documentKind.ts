import type documentKinds from './documentKinds';

/** The kinds of document that the platform holds. */
type DocumentKind = keyof typeof documentKinds;

export default DocumentKind;
