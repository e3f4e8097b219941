/** `keeper` in a share's record after the last keeper released all units and named no successor. */
const NO_KEEPER = '-';

export default NO_KEEPER;
