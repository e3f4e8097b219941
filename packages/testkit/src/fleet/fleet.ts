import type startFleet from './startFleet';

/** A running deployment of a test. */
type Fleet = Awaited<ReturnType<typeof startFleet>>;

export default Fleet;
