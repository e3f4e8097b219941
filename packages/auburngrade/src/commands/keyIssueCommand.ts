import { Args, Command } from '@oclif/core';
import { createOperatorClient } from '@auburngrade/operator';
import exitCodes from './exitCodes';
import operatorFlags from './operatorFlags';

/** Issues a key for a client account; the key is printed once. */
class KeyIssueCommand extends Command {
  static override description = 'Issue a key for a client account.';

  static override args = { account: Args.string({ required: true }) };

  static override flags = operatorFlags;

  override async run(): Promise<void> {
    const { args, flags } = await this.parse(KeyIssueCommand);
    const client = createOperatorClient(flags.address, flags.timeoutMs);
    const reply = await client.issueKey({ account: args.account, changeId: '' });
    client.close();
    this.log(JSON.stringify({ key: reply.key, keyId: reply.keyId, ...reply.change }));
    if (reply.change?.verdict !== 'ran') this.exit(exitCodes.refused);
  }
}

export default KeyIssueCommand;
