import { readFileSync } from 'node:fs';
import { Flags } from '@oclif/core';
import createSignalClock from '../daemon/createSignalClock';
import listenForSignals from '../daemon/listenForSignals';
import startDaemon from '../daemon/startDaemon';
import createLogger from '../log/createLogger';
import parseSettings from '../settings/parseSettings';
import reportChangedSettings from '../settings/reportChangedSettings';
import type Settings from '../settings/settings';
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
    const read = (): Settings => parseSettings(readFileSync(flags.settings, 'utf8'));
    const settings = read();
    const logger = createLogger(settings);
    // Before the start: its ports take work before all of them are open.
    const nowMs = (): number => performance.now();
    const stopRequested = listenForSignals(process, createSignalClock(nowMs), () =>
      reportChangedSettings({ inForce: settings, read, logger }),
    );
    const stop = await startDaemon(settings, nowMs);
    await stop(await stopRequested);
  }
}

export default RunCommand;
