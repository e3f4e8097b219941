import accountSchema from './accountSchema';
import groupSchema from './groupSchema';
import keySchema from './keySchema';
import profileSchema from './profileSchema';
import shareRecordSchema from '../rate/shareRecordSchema';
import slotsSchema from '../slots/slotsSchema';
import termSchema from './termSchema';
import vmSchema from './vmSchema';

/**
 * Registers each kind of document with its key prefix at the platform and its schema.
 * Operators write the `writable` kinds. Changes of `urgent` kinds are passed on to followers
 * at once; the others wait for the follower's next request.
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
  slots: { prefix: '/auburngrade/slots/', schema: slotsSchema, writable: false, urgent: true },
  share: {
    prefix: '/auburngrade/share/',
    schema: shareRecordSchema,
    writable: false,
    urgent: true,
  },
  vm: { prefix: '/platform/vms/', schema: vmSchema, writable: false, urgent: true },
} as const;

export default documentKinds;
