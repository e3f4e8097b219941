import type createTraceRecorder from './createTraceRecorder';

/** Records the inputs and answers of one decision. */
type TraceRecorder = ReturnType<typeof createTraceRecorder>;

export default TraceRecorder;
