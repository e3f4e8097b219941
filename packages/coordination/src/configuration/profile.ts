import type { z } from 'zod';
import type profileSchema from './profileSchema';

/** A parsed profile, with defaults filled in. */
type Profile = z.infer<typeof profileSchema>;

export default Profile;
