import type createLoad from './createLoad';

/** A running load. */
type Load = ReturnType<typeof createLoad>;

export default Load;
