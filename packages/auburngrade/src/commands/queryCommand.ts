import { Args, Command, Flags } from '@oclif/core';
import { AccessMode, Verdict, createCallerClient } from '@auburngrade/caller';
import exitCodes from './exitCodes';

/** Runs one statement as a caller. */
class QueryCommand extends Command {
  static override description = 'Run one statement through a VM.';

  static override args = { sql: Args.string({ required: true }) };

  static override flags = {
    address: Flags.string({
      char: 'a',
      required: true,
      description: "a VM's caller address, host:port",
    }),
    key: Flags.string({ char: 'k', env: 'AUBURNGRADE_KEY' }),
    profile: Flags.string({ char: 'p', required: true }),
    group: Flags.string({ char: 'g', required: true }),
    write: Flags.boolean({ char: 'w', default: false }),
    parameter: Flags.string({ multiple: true, default: [] }),
    session: Flags.string({ default: '', description: 'session token of an earlier outcome' }),
    requestId: Flags.string({ default: '' }),
    timeoutMs: Flags.integer({ default: 5_000 }),
  };

  override async run(): Promise<void> {
    const { args, flags } = await this.parse(QueryCommand);
    const client = createCallerClient(flags.address, flags.key);
    const outcome = await client.execute({
      profile: flags.profile,
      group: flags.group,
      accessMode: flags.write ? AccessMode.WRITE : AccessMode.READ,
      sql: args.sql,
      parameters: flags.parameter.map((text) => ({ text })),
      sessionToken: flags.session,
      requestId: flags.requestId,
      timeoutMs: flags.timeoutMs,
    });
    client.close();
    this.log(JSON.stringify({ ...outcome, verdict: Verdict[outcome.verdict] }));
    if (outcome.verdict === Verdict.NOT_RUN) this.exit(exitCodes.refused);
    if (outcome.verdict !== Verdict.RAN) this.exit(exitCodes.failure);
  }
}

export default QueryCommand;
