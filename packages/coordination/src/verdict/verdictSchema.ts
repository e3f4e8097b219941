import { z } from 'zod';

/** Whether a request took effect: the part of each error by which a client decides on a retry. */
const verdictSchema = z.enum(['notRun', 'mayHaveRun', 'ran']);

export default verdictSchema;
