import type { z } from 'zod';
import type shareRecordSchema from './shareRecordSchema';

/** Which VM keeps the shares of an account's rate. */
type ShareRecord = z.infer<typeof shareRecordSchema>;

export default ShareRecord;
