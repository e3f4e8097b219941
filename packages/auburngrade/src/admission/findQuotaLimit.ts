import type { ConfigurationState, RateLimit } from '@auburngrade/coordination';
import PROFILE_SEPARATOR from './profileSeparator';

/** Returns the rate limit of the quota named `account` or `account@profile`. */
const findQuotaLimit = (configuration: ConfigurationState, name: string): RateLimit | undefined => {
  const [account = '', profile] = name.split(PROFILE_SEPARATOR);
  if (profile === undefined) return configuration.get('account', account)?.limit;
  return configuration.get('profile', profile)?.limit;
};

export default findQuotaLimit;
