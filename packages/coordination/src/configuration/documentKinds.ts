import accountSchema from './accountSchema';
import dataCentreSchema from './dataCentreSchema';
import groupSchema from './groupSchema';
import keySchema from './keySchema';
import profileSchema from './profileSchema';
import quotaRecordSchema from '../rate/quotaRecordSchema';
import slotsRecordSchema from '../slots/slotsRecordSchema';
import termSchema from './termSchema';
import vmSchema from './vmSchema';

/**
 * The kinds of stored documents, each with its key prefix in the platform's store and its
 * schema. Operators may write the `writable` kinds. Changes of `urgent` kinds are sent to
 * followers at once; other changes wait for the follower's next request.
 */
const documentKinds = {
  profile: {
    prefix: '/auburngrade/profile/',
    schema: profileSchema,
    writable: true,
    urgent: false,
  },
  account: {
    prefix: '/auburngrade/account/',
    schema: accountSchema,
    writable: true,
    urgent: false,
  },
  key: { prefix: '/auburngrade/key/', schema: keySchema, writable: false, urgent: false },
  group: { prefix: '/auburngrade/group/', schema: groupSchema, writable: true, urgent: false },
  term: { prefix: '/auburngrade/term/', schema: termSchema, writable: false, urgent: true },
  slots: {
    prefix: '/auburngrade/slots/',
    schema: slotsRecordSchema,
    writable: false,
    urgent: true,
  },
  share: {
    prefix: '/auburngrade/share/',
    schema: quotaRecordSchema,
    writable: false,
    urgent: true,
  },
  dataCentre: {
    prefix: '/auburngrade/dataCentre/',
    schema: dataCentreSchema,
    writable: true,
    urgent: true,
  },
  vm: { prefix: '/platform/vms/', schema: vmSchema, writable: false, urgent: true },
} as const;

export default documentKinds;
