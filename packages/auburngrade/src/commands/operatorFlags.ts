import { Flags } from '@oclif/core';
import tlsFlags from './tlsFlags';

const DEFAULT_TIMEOUT_MS = 5_000;

/** Flags of every command that speaks to a VM as an operator. */
const operatorFlags = {
  address: Flags.string({
    char: 'a',
    required: true,
    env: 'AUBURNGRADE_ADDRESS',
    description: "a VM's operator address, host:port",
  }),
  'timeout-ms': Flags.integer({
    default: DEFAULT_TIMEOUT_MS,
    min: 1,
    description: 'how long to wait for the VM',
  }),
  ...tlsFlags,
};

export default operatorFlags;
