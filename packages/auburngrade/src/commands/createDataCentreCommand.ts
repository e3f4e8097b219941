import { randomUUID } from 'node:crypto';
import type { dataCentreSchema } from '@auburngrade/coordination';
import { Args } from '@oclif/core';
import type { z } from 'zod';
import changeFlags from './changeFlags';
import ProgramCommand from './programCommand';
import reportChange from './reportChange';
import withOperatorClient from './withOperatorClient';

const KIND = 'dataCentre';

/** Creates the command that puts a data centre into a state, at the revision that was read. */
const createDataCentreCommand = (
  state: z.infer<typeof dataCentreSchema>['state'],
  description: string,
) =>
  class DataCentreCommand extends ProgramCommand {
    static override description = description;

    static override args = {
      name: Args.string({ required: true, description: 'the data centre' }),
    };

    static override flags = changeFlags;

    override async run(): Promise<object> {
      const { args, flags } = await this.parse(DataCentreCommand);
      const changeId = flags['change-id'] ?? randomUUID();
      const change = await withOperatorClient(flags, async (client) => {
        const { documents } = await client.list({ kind: KIND });
        const found = documents.find(({ name }) => name === args.name);
        return client.put({
          kind: KIND,
          name: args.name,
          bodyJson: JSON.stringify({ state }),
          expectedRevision: found?.revision ?? 0,
          changeId,
        });
      });
      return reportChange(this, change, changeId, { dataCentre: args.name, state });
    }
  };

export default createDataCentreCommand;
