import { z } from 'zod';

/** Says whether a request may have taken effect: the part of every error that a caller may act on. */
const verdictSchema = z.enum(['notRun', 'mayHaveRun', 'ran']);

export default verdictSchema;
