import { AccessMode, Verdict, createCallerClient, type Outcome } from '@auburngrade/caller';
import { Args, Flags } from '@oclif/core';
import callerFlags from './callerFlags';
import createChannelCredentials from './createChannelCredentials';
import exitCodes from './exitCodes';
import formatOutcome from './formatOutcome';
import ProgramCommand from './programCommand';
import runTransaction from './runTransaction';

type Client = ReturnType<typeof createCallerClient>;
type Request = Parameters<typeof runTransaction>[1];

const setExitCode = ({ verdict }: Outcome): void => {
  if (verdict === Verdict.NOT_RUN) process.exitCode = exitCodes.refused;
  else if (verdict !== Verdict.RAN) process.exitCode = exitCodes.failure;
};

const toJson = (outcome: Outcome) => ({ ...outcome, verdict: Verdict[outcome.verdict] });

/** Runs one statement, or several in a transaction, as a caller. */
class QueryCommand extends ProgramCommand {
  static override description =
    'Run one statement through a VM, or with --transaction several that take effect together.';

  static override strict = false;

  static override args = {
    sql: Args.string({
      required: true,
      description: 'the statement; with --transaction one argument for each',
    }),
  };

  static override flags = {
    ...callerFlags,
    transaction: Flags.boolean({
      char: 't',
      default: false,
      description: 'run the statements as one transaction, without --parameter',
    }),
  };

  override async run(): Promise<object> {
    const { argv, flags } = await this.parse(QueryCommand);
    const statements = argv.map(String);
    this.checkUsage(statements, flags);
    const request: Request = {
      profile: flags.profile,
      group: flags.group,
      accessMode: flags.write ? AccessMode.WRITE : AccessMode.READ,
      sessionToken: flags.session,
      requestId: flags['request-id'],
      timeoutMs: flags['timeout-ms'],
    };
    const client = createCallerClient(flags.address, flags.key, createChannelCredentials(flags));
    const result = flags.transaction
      ? this.runTransaction(client, request, statements)
      : this.runStatement(client, request, statements, flags.parameter);
    return result.finally(() => client.close());
  }

  private checkUsage(
    statements: readonly string[],
    flags: { transaction: boolean; parameter: string[] },
  ): void {
    if (!flags.transaction && statements.length > 1) {
      this.error('several statements need --transaction', { exit: exitCodes.usage });
    }
    if (flags.transaction && flags.parameter.length > 0) {
      this.error('--transaction takes no --parameter', { exit: exitCodes.usage });
    }
  }

  private async runStatement(
    client: Client,
    request: Request,
    [sql = '']: readonly string[],
    parameters: readonly string[],
  ): Promise<object> {
    const outcome = await client.execute({
      ...request,
      sql,
      parameters: parameters.map((text) => ({ text })),
    });
    this.log(formatOutcome(outcome));
    setExitCode(outcome);
    return toJson(outcome);
  }

  private async runTransaction(
    client: Client,
    request: Request,
    statements: readonly string[],
  ): Promise<object> {
    const steps = await runTransaction(client.transact(), request, statements);
    steps.forEach(({ step, outcome }) => this.log(`${step}\n${formatOutcome(outcome)}\n`));
    const last = steps.at(-1);
    if (last) setExitCode(last.outcome);
    return { steps: steps.map(({ step, outcome }) => ({ step, outcome: toJson(outcome) })) };
  }
}

export default QueryCommand;
