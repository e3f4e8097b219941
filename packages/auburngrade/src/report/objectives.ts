import type { Profile } from '@auburngrade/coordination';

/** What a profile promises its callers. */
type Objectives = Profile['objectives'];

export default Objectives;
