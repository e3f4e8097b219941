import { Args, Command } from '@oclif/core';
import { createOperatorClient } from '@auburngrade/operator';
import operatorFlags from './operatorFlags';
import reportChange from './reportChange';

/** Withdraws a key. */
class KeyWithdrawCommand extends Command {
  static override description = 'Withdraw a key by its id.';

  static override args = { keyId: Args.string({ required: true }) };

  static override flags = operatorFlags;

  override async run(): Promise<void> {
    const { args, flags } = await this.parse(KeyWithdrawCommand);
    const client = createOperatorClient(flags.address, flags.timeoutMs);
    const change = await client.withdrawKey({ keyId: args.keyId, changeId: '' });
    client.close();
    reportChange(this, change);
  }
}

export default KeyWithdrawCommand;
