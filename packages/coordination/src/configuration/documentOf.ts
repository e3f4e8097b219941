import type { z } from 'zod';
import type DocumentKind from './documentKind';
import type documentKinds from './documentKinds';

/** The type of a kind's documents. */
type DocumentOf<Kind extends DocumentKind> = z.infer<(typeof documentKinds)[Kind]['schema']>;

export default DocumentOf;
