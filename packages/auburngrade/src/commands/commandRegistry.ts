import type { Command } from '@oclif/core';
import createDocumentPutCommand from './createDocumentPutCommand';
import KeyIssueCommand from './keyIssueCommand';
import KeyWithdrawCommand from './keyWithdrawCommand';
import QueryCommand from './queryCommand';
import RunCommand from './runCommand';
import StatusCommand from './statusCommand';

type CommandClass = new (...args: never[]) => Command;

/** Registers each command under its words. */
const commandRegistry: Record<string, CommandClass & typeof Command> = {
  run: RunCommand,
  'profile put': createDocumentPutCommand('profile'),
  'account put': createDocumentPutCommand('account'),
  'group put': createDocumentPutCommand('group'),
  'key issue': KeyIssueCommand,
  'key withdraw': KeyWithdrawCommand,
  status: StatusCommand,
  query: QueryCommand,
};

export default commandRegistry;
