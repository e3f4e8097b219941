import leaseTermSchema from './leaseTermSchema';
import witnessGroupsSchema from './witnessGroupsSchema';

/**
 * The witnesses of a VM's lease and the term under which they renew it. A VM writes it to the
 * platform before it spends anything under it, and only while it spends nothing.
 */
const leaseRecordSchema = leaseTermSchema.extend({ groups: witnessGroupsSchema });

export default leaseRecordSchema;
