import type { Change } from '@auburngrade/operator';
import exitCodes from './exitCodes';
import formatFields from './output/formatFields';
import type ProgramCommand from './programCommand';

interface ChangeReport extends Change {
  changeId: string;
}

/** Prints what became of a change and sets the matching exit code. */
const reportChange = <Extra extends object>(
  command: ProgramCommand,
  change: Change | undefined,
  changeId: string,
  extra: Extra,
): ChangeReport & Extra => {
  const known = change ?? { verdict: 'mayHaveRun', revision: 0, refusalCode: '', message: '' };
  const report = { ...extra, ...known, changeId };
  command.log(formatFields(report));
  if (known.verdict === 'notRun') process.exitCode = exitCodes.refused;
  else if (known.verdict !== 'ran') process.exitCode = exitCodes.failure;
  return report;
};

export default reportChange;
