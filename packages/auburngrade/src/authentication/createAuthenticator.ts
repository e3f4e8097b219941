import { createHash } from 'node:crypto';
import {
  createNotRunError,
  type ConfigurationState,
  type Profile,
} from '@auburngrade/coordination';
import type Caller from './caller';

const FRESHNESS_RETRY_AFTER_MS = 1_000;

const hashKey = (key: string): string => createHash('sha256').update(key).digest('hex');

/** Creates the authenticator of callers' keys, which the configuration stores as SHA-256 hashes. */
const createAuthenticator = (
  configuration: ConfigurationState,
  isKeyDataFresh: () => boolean = () => true,
) => {
  const checkFreshness = (): void => {
    if (isKeyDataFresh()) return;
    const message =
      'cannot verify that the key is not withdrawn: configuration of this VM may be out of date';
    throw createNotRunError('keyNotVouched', message, FRESHNESS_RETRY_AFTER_MS);
  };

  const findProfile = (profileName: string): Profile => {
    const profile = configuration.get('profile', profileName);
    if (!profile)
      throw createNotRunError('unknownProfile', `profile ${profileName} does not exist`);
    return profile;
  };

  const checkKey = (keyHash: string | undefined, profileName: string): Caller => {
    const profile = findProfile(profileName);
    if (profile.openToAll) return { account: undefined, profile, profileName, keyHash: undefined };
    if (keyHash === undefined)
      throw createNotRunError('unauthenticated', 'the profile requires a key');
    const keyDocument = configuration.get('key', keyHash);
    if (!keyDocument || keyDocument.withdrawn)
      throw createNotRunError('unauthenticated', 'the key is unknown or withdrawn');
    if (!profile.accounts.includes(keyDocument.account)) {
      throw createNotRunError(
        'accountNotAllowed',
        `the profile does not allow account ${keyDocument.account}`,
      );
    }
    checkFreshness();
    return { account: keyDocument.account, profile, profileName, keyHash };
  };

  const checkGroup = ({ groups }: Profile, group: string): void => {
    if (groups.length === 0 || groups.includes(group)) return;
    // The later look-up of the group reports an unknown group.
    if (!configuration.get('group', group)) return;
    throw createNotRunError('groupNotAllowed', `the profile does not allow group ${group}`);
  };

  return {
    /**
     * Checks that the profile allows the key's account and the group; returns the caller.
     * @throws RefusalError `unknownProfile`, `unauthenticated`, `accountNotAllowed`,
     * `keyNotVouched` or `groupNotAllowed`.
     */
    authenticate: (key: string | undefined, profileName: string, group: string): Caller => {
      const caller = checkKey(key === undefined ? undefined : hashKey(key), profileName);
      checkGroup(caller.profile, group);
      return caller;
    },
    /**
     * Checks a key again right before a statement is sent to an endpoint, possibly on another VM
     * than the one that authenticated it. A key unknown here is newer than this VM's
     * configuration, since key documents are never deleted; while that configuration is fresh,
     * a withdrawal of the key need not be in force yet.
     * @throws RefusalError `unauthenticated` or `keyNotVouched`
     */
    recheckKey: (keyHash: string | undefined): void => {
      if (keyHash === undefined) return;
      if (configuration.get('key', keyHash)?.withdrawn) {
        throw createNotRunError('unauthenticated', 'the key was withdrawn');
      }
      checkFreshness();
    },
  };
};

export default createAuthenticator;
