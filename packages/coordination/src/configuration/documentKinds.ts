import accountSchema from './accountSchema';
import groupSchema from './groupSchema';
import keySchema from './keySchema';
import profileSchema from './profileSchema';
import shareRecordSchema from '../rate/shareRecordSchema';
import slotsSchema from './slotsSchema';
import termSchema from './termSchema';
import vmSchema from './vmSchema';

/** Registers each kind of document with its key prefix at the platform and its schema. */
const documentKinds = {
  profile: { prefix: '/auburngrade/profile/', schema: profileSchema, writable: true },
  account: { prefix: '/auburngrade/account/', schema: accountSchema, writable: true },
  key: { prefix: '/auburngrade/key/', schema: keySchema, writable: false },
  group: { prefix: '/auburngrade/group/', schema: groupSchema, writable: true },
  term: { prefix: '/auburngrade/term/', schema: termSchema, writable: false },
  slots: { prefix: '/auburngrade/slots/', schema: slotsSchema, writable: false },
  share: { prefix: '/auburngrade/share/', schema: shareRecordSchema, writable: false },
  vm: { prefix: '/platform/vms/', schema: vmSchema, writable: false },
} as const;

export default documentKinds;
