import { AccessMode, Verdict, createCallerClient } from '@auburngrade/caller';
import { Args } from '@oclif/core';
import callerFlags from './callerFlags';
import createChannelCredentials from './createChannelCredentials';
import exitCodes from './exitCodes';
import formatOutcome from './formatOutcome';
import ProgramCommand from './programCommand';

/** Runs one statement as a caller. */
class QueryCommand extends ProgramCommand {
  static override description = 'Run one statement through a VM.';

  static override args = { sql: Args.string({ required: true, description: 'the statement' }) };

  static override flags = callerFlags;

  override async run(): Promise<object> {
    const { args, flags } = await this.parse(QueryCommand);
    const credentials = createChannelCredentials(flags);
    const client = createCallerClient(flags.address, flags.key, credentials);
    const outcome = await client
      .execute({
        profile: flags.profile,
        group: flags.group,
        accessMode: flags.write ? AccessMode.WRITE : AccessMode.READ,
        sql: args.sql,
        parameters: flags.parameter.map((text) => ({ text })),
        sessionToken: flags.session,
        requestId: flags['request-id'],
        timeoutMs: flags['timeout-ms'],
      })
      .finally(() => client.close());
    this.log(formatOutcome(outcome));
    if (outcome.verdict === Verdict.NOT_RUN) process.exitCode = exitCodes.refused;
    else if (outcome.verdict !== Verdict.RAN) process.exitCode = exitCodes.failure;
    return { ...outcome, verdict: Verdict[outcome.verdict] };
  }
}

export default QueryCommand;
