import type { z } from 'zod';
import type refusalSchema from './refusalSchema';

/** A refusal or failure of a request, tagged by `code`. */
type Refusal = z.infer<typeof refusalSchema>;

export default Refusal;
