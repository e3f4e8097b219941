import { Config, type Interfaces } from '@oclif/core';
import commandRegistry from './commands/commandRegistry';
import exitCodes from './commands/exitCodes';

const packageJson = {
  name: 'auburngrade',
  version: '0.1.0',
  oclif: { bin: 'auburngrade', commands: undefined },
} as unknown as Interfaces.PJSON;

const findCommand = (words: string[]): { name: string; rest: string[] } | undefined => {
  const name = [2, 1]
    .map((count) => words.slice(0, count).join(' '))
    .find((candidate) => Object.hasOwn(commandRegistry, candidate));
  return name === undefined ? undefined : { name, rest: words.slice(name.split(' ').length) };
};

/** Entry point of the program. */
const main = async (words: string[]): Promise<void> => {
  const found = findCommand(words);
  const command = found && commandRegistry[found.name];
  if (!found || !command) {
    process.stderr.write(`commands:\n  ${Object.keys(commandRegistry).join('\n  ')}\n`);
    process.exitCode = exitCodes.usage;
    return;
  }
  const config = await Config.load({ root: process.cwd(), pjson: packageJson });
  await command.run(found.rest, config);
};

main(process.argv.slice(2)).catch((error: Error & { oclif?: { exit?: number } }) => {
  if (error.oclif?.exit === undefined || !error.message.startsWith('EEXIT')) {
    process.stderr.write(`${error.message}\n`);
  }
  process.exitCode = error.oclif?.exit ?? exitCodes.failure;
});
