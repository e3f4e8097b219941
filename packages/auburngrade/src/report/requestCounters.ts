import type { z } from 'zod';
import type requestCountersSchema from './requestCountersSchema';

/** Counters of one VM for one profile and client account. */
type RequestCounters = z.infer<typeof requestCountersSchema>;

export default RequestCounters;
