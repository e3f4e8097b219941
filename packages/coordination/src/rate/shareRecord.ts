import type { z } from 'zod';
import type shareRecordSchema from './shareRecordSchema';

/** The stored record of an account's quota allocator and consumers. */
type ShareRecord = z.infer<typeof shareRecordSchema>;

export default ShareRecord;
