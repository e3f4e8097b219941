import { Args } from '@oclif/core';
import operatorFlags from './operatorFlags';
import ProgramCommand from './programCommand';
import readDocument from './readDocument';
import withOperatorClient from './withOperatorClient';

const INDENT_SPACES = 2;

/** Creates the command that shows one document of a kind. */
const createDocumentShowCommand = (kind: string) =>
  class DocumentShowCommand extends ProgramCommand {
    static override description = `Show one ${kind} as the VM knows it.`;

    static override args = { name: Args.string({ required: true, description: `the ${kind}` }) };

    static override flags = operatorFlags;

    override async run(): Promise<object> {
      const { args, flags } = await this.parse(DocumentShowCommand);
      const found = await withOperatorClient(flags, (client) =>
        readDocument(client, kind, args.name),
      );
      const document = JSON.parse(found.bodyJson) as unknown;
      this.log(`revision: ${found.revision}\n${JSON.stringify(document, null, INDENT_SPACES)}`);
      return { name: found.name, revision: found.revision, document };
    }
  };

export default createDocumentShowCommand;
