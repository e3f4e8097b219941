import log from 'loglevel';
import type Settings from '../settings/settings';
import type Logger from './logger';

/** Creates the logger of a daemon: one JSON object per line on standard error. */
const createLogger = (settings: Pick<Settings, 'vm' | 'log'>): Logger => {
  const target = log.getLogger(settings.vm);
  target.methodFactory = (level) => (event, fields) => {
    const line = { at: new Date().toISOString(), level, vm: settings.vm, event, ...fields };
    process.stderr.write(`${JSON.stringify(line)}\n`);
  };
  target.setLevel(settings.log.level, false);
  return {
    debug: (event, fields) => target.debug(event, fields),
    info: (event, fields) => target.info(event, fields),
    warn: (event, fields) => target.warn(event, fields),
    error: (event, fields) => target.error(event, fields),
  };
};

export default createLogger;
