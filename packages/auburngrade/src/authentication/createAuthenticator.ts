import { createHash } from 'node:crypto';
import { RefusalError, notRun, type ConfigurationState } from '@auburngrade/coordination';
import type Caller from './caller';

const RETRY_AFTER_MS = 1_000;
const RECHECK_INTERVAL_MS = 250;

const hashOf = (key: string): string => createHash('sha256').update(key).digest('hex');

/** Checks callers' keys against the configuration; keys are compared by hash. */
const createAuthenticator = (
  configuration: ConfigurationState,
  isVouched: () => boolean = () => true,
) => {
  const watched = new Map<Caller, Set<() => void>>();
  let timer: NodeJS.Timeout | undefined;

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

  const recheck = (): void => {
    [...watched].forEach(([caller, listeners]) => {
      if (isStillAllowed(caller)) return;
      watched.delete(caller);
      listeners.forEach((listener) => listener());
    });
    if (watched.size === 0) {
      clearInterval(timer);
      timer = undefined;
    }
  };
  configuration.onChange(recheck);

  return {
    /** @throws RefusalError `unknownProfile`, `unauthenticated`, `accountNotAllowed` or `keyNotVouched`. */
    authenticate: (key: string | undefined, profileName: string): Caller =>
      check(key === undefined ? undefined : hashOf(key), profileName),
    /** Whether the caller may still act now; asked again right before each step of its work. */
    isStillAllowed,
    /** Calls the listener once when the caller may no longer act; returns the function that ends this. */
    onDisallowed: (caller: Caller, listener: () => void): (() => void) => {
      const listeners = watched.get(caller) ?? new Set();
      listeners.add(listener);
      watched.set(caller, listeners);
      timer ??= setInterval(recheck, RECHECK_INTERVAL_MS);
      return () => {
        listeners.delete(listener);
        if (listeners.size === 0) watched.delete(caller);
      };
    },
  };
};

export default createAuthenticator;
