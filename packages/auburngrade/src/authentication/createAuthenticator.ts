import { createHash } from 'node:crypto';
import { notRun, type ConfigurationState } from '@auburngrade/coordination';
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
    checkVouched();
    return { account: found.account, profile, profileName, keyHash };
  };

  return {
    /** @throws RefusalError `unknownProfile`, `unauthenticated`, `accountNotAllowed` or `keyNotVouched`. */
    authenticate: (key: string | undefined, profileName: string): Caller =>
      check(key === undefined ? undefined : hashOf(key), profileName),
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
