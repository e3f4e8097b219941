import { randomUUID } from 'node:crypto';
import type { Group } from '@auburngrade/coordination';
import { Args } from '@oclif/core';
import changeFlags from './changeFlags';
import editGroup from './editGroup';
import ProgramCommand from './programCommand';
import RefusedError from './refusedError';
import reportChange from './reportChange';
import withOperatorClient from './withOperatorClient';

const withLeaving = (group: Group, endpoint: string): Group => {
  if (!group.members.some(({ name }) => name === endpoint)) {
    throw new RefusedError(`the group has no endpoint ${endpoint}`);
  }
  const members = group.members.map((member) =>
    member.name === endpoint ? { ...member, state: 'leaving' as const } : member,
  );
  return { ...group, members };
};

/** Marks an endpoint as leaving, so that it gets no new work. */
class EndpointDrainCommand extends ProgramCommand {
  static override description = 'Mark an endpoint as leaving: it gets no new work.';

  static override args = {
    group: Args.string({ required: true, description: 'the database group' }),
    endpoint: Args.string({ required: true, description: 'the name of the endpoint' }),
  };

  static override flags = changeFlags;

  override async run(): Promise<object> {
    const { args, flags } = await this.parse(EndpointDrainCommand);
    const changeId = flags['change-id'] ?? randomUUID();
    const change = await withOperatorClient(flags, (client) =>
      editGroup(client, args.group, changeId, (group) => withLeaving(group, args.endpoint)),
    );
    return reportChange(this, change, changeId, { group: args.group, endpoint: args.endpoint });
  }
}

export default EndpointDrainCommand;
