import type { z } from 'zod';
import type slopesSchema from './slopesSchema';

type Slopes = z.infer<typeof slopesSchema>;

/** Looks up measured slopes by dimension and measure. @throws Error when one was not measured. */
const createSlopeReader = (slopes: Slopes) => {
  const find = (dimension: string, measure: string) => {
    const found = slopes.results
      .find(({ name }) => name === dimension)
      ?.slopes.find((slope) => slope.measure === measure);
    if (!found) throw new Error(`not measured: ${dimension} ${measure}`);
    return found;
  };
  return {
    base: (dimension: string, measure: string): number => find(dimension, measure).base,
    /** A slope below 0 is noise: nothing shrinks as the fleet grows. */
    slope: (dimension: string, measure: string): number =>
      Math.max(0, find(dimension, measure).slope),
  };
};

export default createSlopeReader;
