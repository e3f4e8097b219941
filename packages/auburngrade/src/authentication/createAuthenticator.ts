import { createHash } from 'node:crypto';
import { RefusalError, notRun, type ConfigurationState } from '@auburngrade/coordination';
import type Caller from './caller';

const RETRY_AFTER_MS = 1_000;

const hashOf = (key: string): string => createHash('sha256').update(key).digest('hex');

/** Checks callers' keys against the configuration; keys are compared by hash. */
const createAuthenticator = (
  configuration: ConfigurationState,
  isVouched: () => boolean = () => true,
) => {
  const check = (keyHash: string | undefined, profileName: string): Caller => {
    const profile = configuration.get('profile', profileName);
    if (!profile) throw notRun('unknownProfile', `no profile ${profileName}`);
    if (profile.openToAll) return { account: undefined, profile, profileName, keyHash: undefined };
    if (keyHash === undefined) throw notRun('unauthenticated', 'a key is required');
    const found = configuration.get('key', keyHash);
    if (!found || found.withdrawn) throw notRun('unauthenticated', 'unknown or withdrawn key');
    if (!profile.accounts.includes(found.account)) {
      throw notRun('accountNotAllowed', `the profile does not name account ${found.account}`);
    }
    if (!isVouched()) {
      const message = 'this VM cannot tell whether the key was withdrawn';
      throw notRun('keyNotVouched', message, RETRY_AFTER_MS);
    }
    return { account: found.account, profile, profileName, keyHash };
  };

  const isStillAllowed = (caller: Caller): boolean => {
    try {
      return check(caller.keyHash, caller.profileName).account === caller.account;
    } catch (error) {
      if (error instanceof RefusalError) return false;
      throw error;
    }
  };

  return {
    /** @throws RefusalError `unknownProfile`, `unauthenticated`, `accountNotAllowed` or `keyNotVouched`. */
    authenticate: (key: string | undefined, profileName: string): Caller =>
      check(key === undefined ? undefined : hashOf(key), profileName),
    /** Whether the caller may still act now; asked again right before each step of its work. */
    isStillAllowed,
  };
};

export default createAuthenticator;
