import SettingsError from '../settings/settingsError';
import exitCodes from './exitCodes';
import RefusedError from './refusedError';

/** The exit code for an error that ended a command. */
const exitCodeOf = (error: Error & { oclif?: { exit?: number } }): number => {
  if (error instanceof RefusedError || error instanceof SettingsError) return exitCodes.refused;
  return error.oclif?.exit ?? exitCodes.failure;
};

export default exitCodeOf;
