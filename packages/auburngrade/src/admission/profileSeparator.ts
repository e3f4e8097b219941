/** Separates account and profile in a share's name; names of neither contain it. */
const PROFILE_SEPARATOR = '@';

export default PROFILE_SEPARATOR;
