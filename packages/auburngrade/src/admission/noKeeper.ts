/** Stands in a share's record for a keeper that has left and handed everything over. */
const NO_KEEPER = '-';

export default NO_KEEPER;
