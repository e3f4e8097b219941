import { readFileSync } from 'node:fs';
import { Args } from '@oclif/core';
import explainRequest from '../explain/explainRequest';
import type LogLine from '../explain/logLine';
import readLogLines from '../explain/readLogLines';
import ProgramCommand from './programCommand';

const STANDARD_INPUT = 0;

const format = ({ at, vm, event, level, ageMs, ...fields }: LogLine): string =>
  `${at} ${vm} ${event} ${JSON.stringify(fields)}`;

/** Prints the life of one request from the logs of several VMs. */
class ExplainCommand extends ProgramCommand {
  static override description =
    'Print the life of one request, and the beliefs that decided it, from log files or standard input.';

  static override strict = false;

  static override args = {
    request: Args.string({ required: true, description: 'id of the request' }),
    files: Args.string({ description: 'log files of VMs; standard input when none is given' }),
  };

  override async run(): Promise<object> {
    const { argv } = await this.parse(ExplainCommand);
    const [request = '', ...files] = argv.map(String);
    const sources = files.length > 0 ? files : [STANDARD_INPUT];
    const lines = sources.flatMap((source) => readLogLines(readFileSync(source, 'utf8')));
    const explanation = explainRequest(lines, request);
    if (explanation.life.length === 0) {
      this.log(`no line of the logs names the request ${request}`);
      return explanation;
    }
    this.log('What the VMs believed:');
    explanation.context.forEach((line) => this.log(`  ${format(line)}`));
    this.log('What became of the request:');
    explanation.life.forEach((line) => this.log(`  ${format(line)}`));
    return explanation;
  }
}

export default ExplainCommand;
