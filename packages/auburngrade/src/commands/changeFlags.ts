import { Flags } from '@oclif/core';
import operatorFlags from './operatorFlags';

/** Flags of every command that changes a document. */
const changeFlags = {
  ...operatorFlags,
  'change-id': Flags.string({
    description: 'names the change; repeat a change whose answer was lost with the same id',
  }),
};

export default changeFlags;
