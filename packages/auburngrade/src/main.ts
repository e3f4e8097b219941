import { Config, type Interfaces } from '@oclif/core';
import packageJson from '../package.json';
import commandRegistry from './commands/commandRegistry';
import exitCodeOf from './commands/exitCodeOf';
import exitCodes from './commands/exitCodes';
import renderCommandHelp from './commands/help/renderCommandHelp';
import renderProgramHelp from './commands/help/renderProgramHelp';

const HELP_WORDS = ['--help', '-h', 'help'];
const VERSION_WORDS = ['--version', '-v', 'version'];
const INDENT_SPACES = 2;
/** Command names have one or two words; the longer match wins. */
const COMMAND_WORD_COUNTS = [2, 1];

const oclifPackage = {
  name: 'auburngrade',
  version: packageJson.version,
  oclif: { bin: 'auburngrade' },
} as unknown as Interfaces.PJSON;

const findCommand = (words: string[]): { name: string; rest: string[] } | undefined => {
  const name = COMMAND_WORD_COUNTS.map((count) => words.slice(0, count).join(' ')).find(
    (candidate) => Object.hasOwn(commandRegistry, candidate),
  );
  return name === undefined ? undefined : { name, rest: words.slice(name.split(' ').length) };
};

/** Returns the commands of a topic, such as `key`, or all commands if the topic has none. */
const filterCommands = (topic: string | undefined): typeof commandRegistry => {
  const entries = Object.entries(commandRegistry);
  const topicEntries = entries.filter(([words]) => words.startsWith(`${topic} `));
  return Object.fromEntries(topicEntries.length === 0 ? entries : topicEntries);
};

const printProgramHelp = (words: string[]): void => {
  const isHelpRequested = words.some((word) => HELP_WORDS.includes(word));
  const topic = words.find((word) => !HELP_WORDS.includes(word));
  const isTopic = Object.keys(commandRegistry).some((name) => name.startsWith(`${topic} `));
  const text = renderProgramHelp(filterCommands(topic));
  if (isHelpRequested && (topic === undefined || isTopic)) {
    process.stdout.write(text);
    return;
  }
  const problem = topic === undefined || isTopic ? 'no command given' : `no command ${topic}`;
  process.stderr.write(`${problem}\n\n${text}`);
  process.exitCode = exitCodes.usage;
};

/** Runs the command given by the program arguments, or prints help or the version. */
const main = async (words: string[]): Promise<void> => {
  if (words.length === 1 && VERSION_WORDS.includes(words[0] ?? '')) {
    process.stdout.write(`auburngrade ${packageJson.version}\n`);
    return;
  }
  const found = findCommand(words[0] === 'help' ? words.slice(1) : words);
  const command = found && commandRegistry[found.name];
  if (!found || !command) {
    printProgramHelp(words);
    return;
  }
  const isHelp = words[0] === 'help' || found.rest.some((word) => ['--help', '-h'].includes(word));
  if (isHelp) {
    process.stdout.write(renderCommandHelp(found.name, command));
    return;
  }
  const config = await Config.load({ root: process.cwd(), pjson: oclifPackage });
  await command.run(found.rest, config);
};

const words = process.argv.slice(2);
main(words).catch((error: Error) => {
  process.exitCode = exitCodeOf(error);
  if (words.includes('--json')) {
    const body = { error: { name: error.name, message: error.message } };
    process.stdout.write(`${JSON.stringify(body, null, INDENT_SPACES)}\n`);
  } else {
    process.stderr.write(`${error.message}\n`);
  }
  // Timers and connections of a daemon that failed to start would keep the process running.
  process.exit();
});
