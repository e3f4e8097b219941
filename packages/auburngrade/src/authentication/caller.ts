import type { Profile } from '@auburngrade/coordination';

/** Who makes a request, as authenticated. */
interface Caller {
  /** Undefined on a route open to all. */
  account: string | undefined;
  profile: Profile;
  profileName: string;
  /** Hash of the key that came with the request; undefined on a route open to all. */
  keyHash: string | undefined;
}

export default Caller;
