import { createHash } from 'node:crypto';
import { notRun, type ConfigurationState, type Profile } from '@auburngrade/coordination';
import type Caller from './caller';

const RETRY_AFTER_MS = 1_000;

const hashOf = (key: string): string => createHash('sha256').update(key).digest('hex');

/** Checks callers' keys against the configuration; keys are compared by hash. */
const createAuthenticator = (
  configuration: ConfigurationState,
  isVouched: () => boolean = () => true,
) => {
  const checkVouched = (): void => {
    if (isVouched()) return;
    const message = 'this VM cannot tell whether the key was withdrawn';
    throw notRun('keyNotVouched', message, RETRY_AFTER_MS);
  };

  const findProfile = (profileName: string): Profile => {
    const profile = configuration.get('profile', profileName);
    if (!profile) throw notRun('unknownProfile', `no profile ${profileName}`);
    return profile;
  };

  const checkKey = (keyHash: string | undefined, profileName: string): Caller => {
    const profile = findProfile(profileName);
    if (profile.openToAll) return { account: undefined, profile, profileName, keyHash: undefined };
    if (keyHash === undefined) throw notRun('unauthenticated', 'a key is required');
    const found = configuration.get('key', keyHash);
    if (!found || found.withdrawn) throw notRun('unauthenticated', 'unknown or withdrawn key');
    if (!profile.accounts.includes(found.account)) {
      throw notRun('accountNotAllowed', `the profile does not name account ${found.account}`);
    }
    checkVouched();
    return { account: found.account, profile, profileName, keyHash };
  };

  const checkGroup = ({ groups }: Profile, group: string): void => {
    if (groups.length === 0 || groups.includes(group)) return;
    // An unknown group is told as such where it is looked up.
    if (!configuration.get('group', group)) return;
    throw notRun('groupNotAllowed', `the profile does not name group ${group}`);
  };

  return {
    /**
     * Checks a caller's key against the profile, and the group against those that it names.
     * @throws RefusalError `unknownProfile`, `unauthenticated`, `accountNotAllowed`,
     * `keyNotVouched` or `groupNotAllowed`.
     */
    authenticate: (key: string | undefined, profileName: string, group: string): Caller => {
      const caller = checkKey(key === undefined ? undefined : hashOf(key), profileName);
      checkGroup(caller.profile, group);
      return caller;
    },
    /**
     * Checks a key again right before a statement goes to an endpoint, maybe on another VM than
     * the one that authenticated it. A key that is not known here is newer than this VM's
     * configuration, since key documents are never deleted; as long as the configuration is
     * vouched for, its withdrawal is not yet due.
     * @throws RefusalError `unauthenticated` or `keyNotVouched`
     */
    recheck: (keyHash: string | undefined): void => {
      if (keyHash === undefined) return;
      if (configuration.get('key', keyHash)?.withdrawn) {
        throw notRun('unauthenticated', 'the key was withdrawn');
      }
      checkVouched();
    },
  };
};

export default createAuthenticator;
