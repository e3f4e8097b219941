import { createHash } from 'node:crypto';
import { notRun, type ConfigurationState, type Profile } from '@auburngrade/coordination';

interface Caller {
  /** Undefined on a route open to all. */
  account: string | undefined;
  profile: Profile;
}

const hashOf = (key: string): string => createHash('sha256').update(key).digest('hex');

/** Checks callers' keys against the configuration; keys are compared by hash. */
const createAuthenticator = (configuration: ConfigurationState) => ({
  /** @throws RefusalError `unknownProfile`, `unauthenticated` or `accountNotAllowed`. */
  authenticate: (key: string | undefined, profileName: string): Caller => {
    const profile = configuration.get('profile', profileName);
    if (!profile) throw notRun('unknownProfile', `no profile ${profileName}`);
    if (profile.openToAll) return { account: undefined, profile };
    if (key === undefined) throw notRun('unauthenticated', 'a key is required');
    const found = configuration.get('key', hashOf(key));
    if (!found || found.withdrawn) throw notRun('unauthenticated', 'unknown or withdrawn key');
    if (!profile.accounts.includes(found.account)) {
      throw notRun('accountNotAllowed', `the profile does not name account ${found.account}`);
    }
    return { account: found.account, profile };
  },
});

export default createAuthenticator;
