import type { Command } from '@oclif/core';
import formatTable from '../output/formatTable';

/** Renders the help of the program, or of the commands whose words begin with a topic. */
const renderProgramHelp = (commands: Record<string, typeof Command>): string => {
  const rows = Object.entries(commands).map(([words, { description }]) => [
    `  ${words}`,
    description ?? '',
  ]);
  return [
    'auburngrade: a database proxy with session consistency',
    '',
    'usage: auburngrade COMMAND [arguments] [flags]',
    '',
    formatTable(['commands', ''], rows),
    '',
    'auburngrade COMMAND --help prints the help of one command, auburngrade --version the version.',
    'exit codes: 0 done, 1 failed or outcome unknown, 2 wrong usage, 3 refused and not run',
    '',
  ].join('\n');
};

export default renderProgramHelp;
