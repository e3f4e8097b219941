import { readFileSync } from 'node:fs';
import { Args, Command, Flags } from '@oclif/core';
import { createOperatorClient } from '@auburngrade/operator';
import operatorFlags from './operatorFlags';
import reportChange from './reportChange';

const ANY_REVISION = -1;

/** Creates the command that writes documents of one kind. */
const createDocumentPutCommand = (kind: string) =>
  class DocumentPutCommand extends Command {
    static override description = `Write a ${kind} from a JSON file or text.`;

    static override args = { name: Args.string({ required: true }) };

    static override flags = {
      ...operatorFlags,
      file: Flags.string({ char: 'f', exclusive: ['body'] }),
      body: Flags.string({ char: 'b', description: 'the document as JSON text' }),
      revision: Flags.integer({ description: 'refuse unless the document is at this revision' }),
    };

    override async run(): Promise<void> {
      const { args, flags } = await this.parse(DocumentPutCommand);
      const client = createOperatorClient(flags.address, flags.timeoutMs);
      const change = await client.put({
        kind,
        name: args.name,
        bodyJson: flags.body ?? readFileSync(flags.file ?? '/dev/stdin', 'utf8'),
        expectedRevision: flags.revision ?? ANY_REVISION,
        changeId: '',
      });
      client.close();
      reportChange(this, change);
    }
  };

export default createDocumentPutCommand;
