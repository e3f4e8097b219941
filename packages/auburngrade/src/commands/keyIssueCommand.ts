import { randomUUID } from 'node:crypto';
import { Args } from '@oclif/core';
import changeFlags from './changeFlags';
import ProgramCommand from './programCommand';
import reportChange from './reportChange';
import withOperatorClient from './withOperatorClient';

/** Issues a key for a client account; the key is printed once. */
class KeyIssueCommand extends ProgramCommand {
  static override description = 'Issue a key for a client account; the key is printed only here.';

  static override args = {
    account: Args.string({ required: true, description: 'the client account' }),
  };

  static override flags = changeFlags;

  override async run(): Promise<object> {
    const { args, flags } = await this.parse(KeyIssueCommand);
    const changeId = flags['change-id'] ?? randomUUID();
    const reply = await withOperatorClient(flags, (client) =>
      client.issueKey({ account: args.account, changeId }),
    );
    const { key, keyId, change } = reply;
    const issued = change?.verdict === 'notRun' ? {} : { key, keyId };
    return reportChange(this, change, changeId, { account: args.account, ...issued });
  }
}

export default KeyIssueCommand;
