/** Separates account and profile in a share's name; neither name contains it. */
const PROFILE_SEPARATOR = '@';

export default PROFILE_SEPARATOR;
