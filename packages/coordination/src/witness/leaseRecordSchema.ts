import leaseTermSchema from './leaseTermSchema';
import witnessGroupsSchema from './witnessGroupsSchema';

/**
 * The stored record of a VM's lease: its term and its witnesses. A VM writes it to the
 * configuration store before it uses any quota units under it, and only while it uses none.
 */
const leaseRecordSchema = leaseTermSchema.extend({ groups: witnessGroupsSchema });

export default leaseRecordSchema;
