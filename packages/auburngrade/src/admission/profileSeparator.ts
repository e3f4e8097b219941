/** Separates account and profile in a quota's name; neither name contains it. */
const PROFILE_SEPARATOR = '@';

export default PROFILE_SEPARATOR;
