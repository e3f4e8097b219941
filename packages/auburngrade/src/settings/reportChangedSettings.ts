import { isDeepStrictEqual } from 'node:util';
import type Logger from '../log/logger';
import type Settings from './settings';

interface ReportOptions {
  inForce: Settings;
  /** Reads the settings file. @throws Error when it is missing or wrong */
  read(): Settings;
  logger: Pick<Logger, 'info' | 'warn'>;
}

/** Logs which settings of the file differ from those in force, which stay until a restart. */
const reportChangedSettings = ({ inForce, read, logger }: ReportOptions): void => {
  try {
    const next = read();
    const names = Object.keys(next) as (keyof Settings)[];
    const changed = names.filter((name) => !isDeepStrictEqual(next[name], inForce[name]));
    logger.info('settings.changed', { changed, needsRestart: changed.length > 0 });
  } catch (error) {
    logger.warn('settings.unreadable', { reason: String(error) });
  }
};

export default reportChangedSettings;
