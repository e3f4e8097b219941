import { randomUUID } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { Args, Flags } from '@oclif/core';
import changeFlags from './changeFlags';
import ProgramCommand from './programCommand';
import reportChange from './reportChange';
import withOperatorClient from './withOperatorClient';

const ANY_REVISION = -1;
const STANDARD_INPUT = '/dev/stdin';

/** Creates the command that writes documents of one kind. */
const createDocumentPutCommand = (kind: string) =>
  class DocumentPutCommand extends ProgramCommand {
    static override description = `Write one ${kind} from a JSON file, JSON text or standard input.`;

    static override args = { name: Args.string({ required: true, description: `the ${kind}` }) };

    static override flags = {
      ...changeFlags,
      file: Flags.string({
        char: 'f',
        exclusive: ['body'],
        description: 'JSON file with the document',
      }),
      body: Flags.string({ char: 'b', description: 'the document as JSON text' }),
      revision: Flags.integer({
        description: 'refuse unless the document is at this revision; 0: it must be new',
      }),
    };

    override async run(): Promise<object> {
      const { args, flags } = await this.parse(DocumentPutCommand);
      const changeId = flags['change-id'] ?? randomUUID();
      const change = await withOperatorClient(flags, (client) =>
        client.put({
          kind,
          name: args.name,
          bodyJson: flags.body ?? readFileSync(flags.file ?? STANDARD_INPUT, 'utf8'),
          expectedRevision: flags.revision ?? ANY_REVISION,
          changeId,
        }),
      );
      return reportChange(this, change, changeId, { kind, name: args.name });
    }
  };

export default createDocumentPutCommand;
