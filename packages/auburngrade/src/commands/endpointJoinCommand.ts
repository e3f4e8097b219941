import { randomUUID } from 'node:crypto';
import type { Group, Member } from '@auburngrade/coordination';
import { Args, Flags } from '@oclif/core';
import changeFlags from './changeFlags';
import editGroup from './editGroup';
import ProgramCommand from './programCommand';
import reportChange from './reportChange';
import withOperatorClient from './withOperatorClient';

const withMember = (group: Group, member: Member): Group => ({
  ...group,
  members: [...group.members.filter(({ name }) => name !== member.name), member],
});

/** Adds an endpoint to a group, or takes a leaving one back. */
class EndpointJoinCommand extends ProgramCommand {
  static override description = 'Add an endpoint to a group, or take a leaving one back.';

  static override args = {
    group: Args.string({ required: true, description: 'the database group' }),
    endpoint: Args.string({ required: true, description: 'the name of the endpoint' }),
  };

  static override flags = {
    ...changeFlags,
    'data-centre': Flags.string({
      required: true,
      description: 'the data centre of the endpoint',
    }),
    host: Flags.string({ required: true, description: 'the address of the endpoint' }),
    port: Flags.integer({ required: true, description: 'its port for statements' }),
    'replication-port': Flags.integer({
      required: true,
      description: 'its port for replication',
    }),
  };

  override async run(): Promise<object> {
    const { args, flags } = await this.parse(EndpointJoinCommand);
    const changeId = flags['change-id'] ?? randomUUID();
    const member: Member = {
      name: args.endpoint,
      dataCentre: flags['data-centre'],
      host: flags.host,
      port: flags.port,
      replicationPort: flags['replication-port'],
      state: 'active',
    };
    const change = await withOperatorClient(flags, (client) =>
      editGroup(client, args.group, changeId, (group) => withMember(group, member)),
    );
    return reportChange(this, change, changeId, { group: args.group, endpoint: args.endpoint });
  }
}

export default EndpointJoinCommand;
