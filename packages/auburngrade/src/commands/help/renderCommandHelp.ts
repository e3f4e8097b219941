import type { Command } from '@oclif/core';
import formatTable from '../output/formatTable';

type Flag = (typeof Command.flags)[string];

const COMMON_FLAGS: Record<string, { char?: string; description: string }> = {
  json: { description: 'print the result as JSON' },
  help: { char: 'h', description: 'print this help' },
};

const flagName = (name: string, flag: { char?: string; type?: string }): string => {
  const short = flag.char === undefined ? '    ' : `-${flag.char}, `;
  return `  ${short}--${name}${flag.type === 'option' ? ' <value>' : ''}`;
};

const notesOf = (flag: Flag): string => {
  const { env, required, type } = flag;
  const isShown = type === 'option' && ['string', 'number'].includes(typeof flag.default);
  const notes = [
    required && 'required',
    isShown && flag.default !== '' && `default ${String(flag.default)}`,
    env !== undefined && `environment ${env}`,
  ].filter(Boolean);
  return notes.length === 0 ? '' : ` (${notes.join('; ')})`;
};

const section = (title: string, rows: string[][]): string =>
  rows.length === 0 ? '' : `${formatTable([title, ''], rows)}\n`;

/** Renders the help of one command from its arguments and flags. */
const renderCommandHelp = (words: string, command: typeof Command): string => {
  const args = Object.entries(command.args ?? {});
  const flags = Object.entries(command.flags ?? {});
  const argRows = args.map(([name, arg]) => [`  ${name}`, arg.description ?? '']);
  const flagRows = flags.map(([name, flag]) => [
    flagName(name, flag),
    `${flag.description ?? ''}${notesOf(flag)}`,
  ]);
  const common = Object.entries(COMMON_FLAGS)
    .filter(([name]) => name !== 'json' || command.enableJsonFlag)
    .map(([name, flag]) => [flagName(name, flag), flag.description]);
  const usage = ['auburngrade', words, ...args.map(([name]) => name.toUpperCase()), '[flags]'].join(
    ' ',
  );
  return [
    `${command.description ?? ''}\n`,
    `usage: ${usage}\n`,
    section('arguments', argRows),
    section('flags', [...flagRows, ...common]),
  ]
    .filter((part) => part !== '')
    .join('\n');
};

export default renderCommandHelp;
