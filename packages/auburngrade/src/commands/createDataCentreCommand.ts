import { randomUUID } from 'node:crypto';
import type { dataCentreSchema } from '@auburngrade/coordination';
import type { Change } from '@auburngrade/operator';
import { Args } from '@oclif/core';
import type { z } from 'zod';
import changeFlags from './changeFlags';
import ProgramCommand from './programCommand';
import reportChange from './reportChange';
import withOperatorClient from './withOperatorClient';

const KIND = 'dataCentre';

/** A conflict names the revision of the document in the store, 0 without one. */
const isDocumentMissing = ({ refusalCode, revision }: Change): boolean =>
  refusalCode === 'conflict' && revision === 0;

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
        const put = (expectedRevision: number): Promise<Change> =>
          client.put({
            kind: KIND,
            name: args.name,
            bodyJson: JSON.stringify({ state }),
            expectedRevision,
            changeId,
          });
        const first = await put(found?.revision ?? 0);
        // A store that came back from an older copy lacks a document that is still in force.
        return found && isDocumentMissing(first) ? put(0) : first;
      });
      return reportChange(this, change, changeId, { dataCentre: args.name, state });
    }
  };

export default createDataCentreCommand;
