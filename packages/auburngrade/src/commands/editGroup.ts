import { groupSchema, type Group } from '@auburngrade/coordination';
import type { Change } from '@auburngrade/operator';
import readDocument from './readDocument';
import type withOperatorClient from './withOperatorClient';

type OperatorClient = Parameters<Parameters<typeof withOperatorClient>[1]>[0];

/** Changes a group's document at the revision that was read, so that a racing change is refused. */
const editGroup = async (
  client: OperatorClient,
  name: string,
  changeId: string,
  edit: (group: Group) => Group,
): Promise<Change> => {
  const found = await readDocument(client, 'group', name);
  const edited = edit(groupSchema.parse(JSON.parse(found.bodyJson)));
  return client.put({
    kind: 'group',
    name,
    bodyJson: JSON.stringify(edited),
    expectedRevision: found.revision,
    changeId,
  });
};

export default editGroup;
