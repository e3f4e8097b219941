import type createLoadSession from './createLoadSession';

/** One session of the load. */
type LoadSession = ReturnType<typeof createLoadSession>;

export default LoadSession;
