import type { Profile } from '@auburngrade/coordination';

/** The authenticated sender of a request. */
interface Caller {
  /** Undefined if the profile is open to all. */
  account: string | undefined;
  profile: Profile;
  profileName: string;
  /** SHA-256 hash of the request's key; undefined if the profile is open to all. */
  keyHash: string | undefined;
}

export default Caller;
