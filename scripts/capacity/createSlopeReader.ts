import type MeasuredDimension from './measuredDimension';

/** Looks up measured slopes by dimension and measure. @throws Error when one was not measured. */
const createSlopeReader = (dimensions: readonly MeasuredDimension[]) => {
  const find = (dimension: string, measure: string) => {
    const found = dimensions
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
