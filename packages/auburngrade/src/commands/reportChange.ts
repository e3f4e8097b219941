import type { Command } from '@oclif/core';
import type { Change } from '@auburngrade/operator';
import exitCodes from './exitCodes';

/** Prints what became of a change and ends with the matching exit code. */
const reportChange = (command: Command, change: Change): void => {
  command.log(JSON.stringify(change));
  if (change.verdict === 'ran') return;
  command.exit(change.verdict === 'notRun' ? exitCodes.refused : exitCodes.failure);
};

export default reportChange;
