import formatTable from './output/formatTable';
import operatorFlags from './operatorFlags';
import ProgramCommand from './programCommand';
import withOperatorClient from './withOperatorClient';

/** Creates the command that lists documents of one kind, which its help calls `label`. */
const createDocumentListCommand = (kind: string, label = kind) =>
  class DocumentListCommand extends ProgramCommand {
    static override description = `List each ${label} that the VM knows.`;

    static override flags = operatorFlags;

    override async run(): Promise<object> {
      const { flags } = await this.parse(DocumentListCommand);
      const list = await withOperatorClient(flags, (client) => client.list({ kind }));
      const rows = list.documents.map(({ name, revision, bodyJson }) => [
        name,
        String(revision),
        bodyJson,
      ]);
      this.log(formatTable(['name', 'revision', 'document'], rows));
      const documents = list.documents.map(({ name, revision, bodyJson }) => ({
        name,
        revision,
        document: JSON.parse(bodyJson) as unknown,
      }));
      return { revision: list.revision, documents };
    }
  };

export default createDocumentListCommand;
