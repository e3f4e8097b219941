import type { z } from 'zod';
import type measuredDimensionSchema from './measuredDimensionSchema';

/** One dimension's fitted lines with the run that gave them. */
type MeasuredDimension = z.infer<typeof measuredDimensionSchema>;

export default MeasuredDimension;
