import { z } from 'zod';

/** Version of the trace format that this schema describes. */
const TRACE_VERSION = 1;

const headerSchema = z.strictObject({
  kind: z.literal('header'),
  schema: z.literal('auburngrade-trace'),
  version: z.literal(TRACE_VERSION),
  /** Name of the state machine that replays the trace. */
  decision: z.string(),
  /** Description and origin of the trace. */
  note: z.string(),
});

const eventSchema = z.strictObject({
  kind: z.literal('event'),
  atMs: z.number().nonnegative(),
  name: z.string(),
  input: z.unknown(),
});

const expectedOutcomeSchema = z.strictObject({
  kind: z.literal('expect'),
  atMs: z.number().nonnegative(),
  name: z.string(),
  input: z.unknown(),
  value: z.unknown(),
});

/** One line of a trace: a header first, then events and expected outcomes in chronological order. */
const traceLineSchema = z.discriminatedUnion('kind', [
  headerSchema,
  eventSchema,
  expectedOutcomeSchema,
]);

export default traceLineSchema;
