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
/** Commands have one word or two. */
const WORD_COUNTS = [2, 1];

const oclifPackage = {
  name: 'auburngrade',
  version: packageJson.version,
  oclif: { bin: 'auburngrade' },
} as unknown as Interfaces.PJSON;

const findCommand = (words: string[]): { name: string; rest: string[] } | undefined => {
  const name = WORD_COUNTS.map((count) => words.slice(0, count).join(' ')).find((candidate) =>
    Object.hasOwn(commandRegistry, candidate),
  );
  return name === undefined ? undefined : { name, rest: words.slice(name.split(' ').length) };
};

/** The commands that begin with a topic, such as `key`; all when there are none. */
const commandsOf = (topic: string | undefined): typeof commandRegistry => {
  const entries = Object.entries(commandRegistry);
  const ofTopic = entries.filter(([words]) => words.startsWith(`${topic} `));
  return Object.fromEntries(ofTopic.length === 0 ? entries : ofTopic);
};

const printProgramHelp = (words: string[]): void => {
  const isAsked = words.some((word) => HELP_WORDS.includes(word));
  const topic = words.find((word) => !HELP_WORDS.includes(word));
  const isTopic = Object.keys(commandRegistry).some((name) => name.startsWith(`${topic} `));
  const text = renderProgramHelp(commandsOf(topic));
  if (isAsked && (topic === undefined || isTopic)) {
    process.stdout.write(text);
    return;
  }
  const problem = topic === undefined || isTopic ? 'no command given' : `no command ${topic}`;
  process.stderr.write(`${problem}\n\n${text}`);
  process.exitCode = exitCodes.usage;
};

/** Entry point of the program. */
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
  // A daemon that could not start has timers and connections that would keep it running.
  process.exit();
});
