import { readFileSync } from 'node:fs';
import { Flags } from '@oclif/core';
import startDaemon from '../daemon/startDaemon';
import parseSettings from '../settings/parseSettings';
import ProgramCommand from './programCommand';

/** Runs a VM's daemon until it is told to stop. */
class RunCommand extends ProgramCommand {
  static override enableJsonFlag = false;

  static override description =
    'Run the daemon of one VM until SIGTERM or SIGINT; log lines go to standard error.';

  static override flags = {
    settings: Flags.string({ char: 's', required: true, description: 'JSON settings file' }),
  };

  override async run(): Promise<void> {
    const { flags } = await this.parse(RunCommand);
    const stop = await startDaemon(parseSettings(readFileSync(flags.settings, 'utf8')));
    await new Promise<void>((resolve) => {
      process.once('SIGTERM', resolve);
      process.once('SIGINT', resolve);
    });
    await stop();
  }
}

export default RunCommand;
