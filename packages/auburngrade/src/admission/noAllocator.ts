/** `keeper` in a quota's record after the last allocator released all units without a successor. */
const NO_ALLOCATOR = '-';

export default NO_ALLOCATOR;
