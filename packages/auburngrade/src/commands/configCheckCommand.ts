import { readFileSync } from 'node:fs';
import { Args } from '@oclif/core';
import maskSecrets from '../settings/maskSecrets';
import parseSettings from '../settings/parseSettings';
import ProgramCommand from './programCommand';

const INDENT_SPACES = 2;

/** Checks a settings file and prints the effective settings. */
class ConfigCheckCommand extends ProgramCommand {
  static override description =
    'Check a settings file and print the effective settings with secrets masked.';

  static override args = {
    file: Args.string({ required: true, description: 'JSON settings file' }),
  };

  override async run(): Promise<object> {
    const { args } = await this.parse(ConfigCheckCommand);
    const settings = parseSettings(readFileSync(args.file, 'utf8'));
    const masked = maskSecrets(settings) as object;
    this.log(JSON.stringify(masked, null, INDENT_SPACES));
    return masked;
  }
}

export default ConfigCheckCommand;
