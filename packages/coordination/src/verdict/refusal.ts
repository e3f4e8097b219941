import type { z } from 'zod';
import type refusalSchema from './refusalSchema';

/** Refusal or failure of a request, identified by `code`. */
type Refusal = z.infer<typeof refusalSchema>;

export default Refusal;
