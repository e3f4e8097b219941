import type { ConfigurationState, RateLimit } from '@auburngrade/coordination';
import PROFILE_SEPARATOR from './profileSeparator';

/** The limit that a share's name stands for: `account`, or `account@profile`. */
const limitOfShare = (configuration: ConfigurationState, name: string): RateLimit | undefined => {
  const [account = '', profile] = name.split(PROFILE_SEPARATOR);
  if (profile === undefined) return configuration.get('account', account)?.limit;
  return configuration.get('profile', profile)?.limit;
};

export default limitOfShare;
