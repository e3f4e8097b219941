import { Flags } from '@oclif/core';

/** Flags of every command that speaks to a VM as an operator. */
const operatorFlags = {
  address: Flags.string({
    char: 'a',
    required: true,
    env: 'AUBURNGRADE_ADDRESS',
    description: "a VM's operator address, host:port",
  }),
  timeoutMs: Flags.integer({ default: 5_000 }),
};

export default operatorFlags;
