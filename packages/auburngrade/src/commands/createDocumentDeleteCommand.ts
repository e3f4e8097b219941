import { randomUUID } from 'node:crypto';
import { Args, Flags } from '@oclif/core';
import changeFlags from './changeFlags';
import ProgramCommand from './programCommand';
import reportChange from './reportChange';
import withOperatorClient from './withOperatorClient';

const ANY_REVISION = -1;

/** Creates the command that deletes documents of one kind. */
const createDocumentDeleteCommand = (kind: string) =>
  class DocumentDeleteCommand extends ProgramCommand {
    static override description = `Delete one ${kind}.`;

    static override args = { name: Args.string({ required: true, description: `the ${kind}` }) };

    static override flags = {
      ...changeFlags,
      revision: Flags.integer({ description: 'refuse unless the document is at this revision' }),
    };

    override async run(): Promise<object> {
      const { args, flags } = await this.parse(DocumentDeleteCommand);
      const changeId = flags['change-id'] ?? randomUUID();
      const expectedRevision = flags.revision ?? ANY_REVISION;
      const change = await withOperatorClient(flags, (client) =>
        client.delete({ kind, name: args.name, expectedRevision, changeId }),
      );
      return reportChange(this, change, changeId, { kind, name: args.name });
    }
  };

export default createDocumentDeleteCommand;
