import { z } from 'zod';

/** Whether a data centre's endpoints may be used. A data centre without a document is in service. */
const dataCentreSchema = z.strictObject({
  state: z.enum(['inService', 'evacuated']).default('inService'),
});

export default dataCentreSchema;
