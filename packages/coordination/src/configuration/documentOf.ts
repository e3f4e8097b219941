import type { z } from 'zod';
import type DocumentKind from './documentKind';
import type documentKinds from './documentKinds';

/** The type of the documents of a kind. */
type DocumentOf<Kind extends DocumentKind> = z.infer<(typeof documentKinds)[Kind]['schema']>;

export default DocumentOf;
