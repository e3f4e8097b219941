import type { z } from 'zod';
import type profileSchema from './profileSchema';

/** A named profile with its defaults filled in. */
type Profile = z.infer<typeof profileSchema>;

export default Profile;
