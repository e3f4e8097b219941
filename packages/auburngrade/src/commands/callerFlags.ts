import { Flags } from '@oclif/core';
import tlsFlags from './tlsFlags';

const DEFAULT_TIMEOUT_MS = 5_000;

/** Flags of commands that speak to a VM as a caller. */
const callerFlags = {
  address: Flags.string({
    char: 'a',
    required: true,
    env: 'AUBURNGRADE_CALLER_ADDRESS',
    description: "a VM's caller address, host:port",
  }),
  key: Flags.string({
    char: 'k',
    env: 'AUBURNGRADE_KEY',
    description: "the client account's key; better given by the environment",
  }),
  profile: Flags.string({ char: 'p', required: true, description: 'the profile' }),
  group: Flags.string({ char: 'g', required: true, description: 'the database group' }),
  write: Flags.boolean({ char: 'w', default: false, description: 'the statement writes' }),
  parameter: Flags.string({
    multiple: true,
    default: [],
    description: 'value of $1, $2 and so on, in order',
  }),
  session: Flags.string({ default: '', description: 'session token of an earlier outcome' }),
  'request-id': Flags.string({
    default: '',
    description: 'UUID; a write repeated with the same id has one effect',
  }),
  'timeout-ms': Flags.integer({ default: DEFAULT_TIMEOUT_MS, description: 'the deadline' }),
  ...tlsFlags,
};

export default callerFlags;
