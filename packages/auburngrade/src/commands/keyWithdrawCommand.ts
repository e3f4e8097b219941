import { randomUUID } from 'node:crypto';
import { Args } from '@oclif/core';
import changeFlags from './changeFlags';
import ProgramCommand from './programCommand';
import reportChange from './reportChange';
import withOperatorClient from './withOperatorClient';

/** Withdraws a key. */
class KeyWithdrawCommand extends ProgramCommand {
  static override description = 'Withdraw a key.';

  static override args = {
    keyId: Args.string({ required: true, description: 'the id printed when the key was issued' }),
  };

  static override flags = changeFlags;

  override async run(): Promise<object> {
    const { args, flags } = await this.parse(KeyWithdrawCommand);
    const changeId = flags['change-id'] ?? randomUUID();
    const change = await withOperatorClient(flags, (client) =>
      client.withdrawKey({ keyId: args.keyId, changeId }),
    );
    return reportChange(this, change, changeId, { keyId: args.keyId });
  }
}

export default KeyWithdrawCommand;
