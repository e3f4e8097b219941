import { z } from 'zod';

/** Version of the trace format that this schema describes. */
const TRACE_VERSION = 1;

const headerSchema = z.strictObject({
  kind: z.literal('header'),
  schema: z.literal('auburngrade-trace'),
  version: z.literal(TRACE_VERSION),
  /** Name of the decision that the trace drives. */
  decision: z.string(),
  /** What the trace shows, and where it comes from. */
  note: z.string(),
});

const eventSchema = z.strictObject({
  kind: z.literal('event'),
  atMs: z.number().nonnegative(),
  name: z.string(),
  input: z.unknown(),
});

const expectationSchema = z.strictObject({
  kind: z.literal('expect'),
  atMs: z.number().nonnegative(),
  name: z.string(),
  input: z.unknown(),
  value: z.unknown(),
});

/** One line of a trace: a header first, then events and stated outcomes in order of time. */
const traceLineSchema = z.discriminatedUnion('kind', [
  headerSchema,
  eventSchema,
  expectationSchema,
]);

export default traceLineSchema;
