import { dataCentreSchema } from '@auburngrade/coordination';
import { Args } from '@oclif/core';
import operatorFlags from './operatorFlags';
import formatFields from './output/formatFields';
import ProgramCommand from './programCommand';
import withOperatorClient from './withOperatorClient';

/** Shows whether a data centre is evacuated. */
class DataCentreShowCommand extends ProgramCommand {
  static override description =
    'Show the state of a data centre as the VM knows it; without a document it is in service.';

  static override args = {
    name: Args.string({ required: true, description: 'the data centre' }),
  };

  static override flags = operatorFlags;

  override async run(): Promise<object> {
    const { args, flags } = await this.parse(DataCentreShowCommand);
    const { documents } = await withOperatorClient(flags, (client) =>
      client.list({ kind: 'dataCentre' }),
    );
    const found = documents.find(({ name }) => name === args.name);
    const document = dataCentreSchema.parse(JSON.parse(found?.bodyJson ?? '{}'));
    const revision = found?.revision ?? 0;
    this.log(formatFields({ revision, ...document }));
    return { name: args.name, revision, document };
  }
}

export default DataCentreShowCommand;
