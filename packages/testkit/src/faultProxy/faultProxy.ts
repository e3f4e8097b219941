import type createFaultProxy from './createFaultProxy';

/** A link under a test's control. */
type FaultProxy = Awaited<ReturnType<typeof createFaultProxy>>;

export default FaultProxy;
