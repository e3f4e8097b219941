import type { Change } from '@auburngrade/operator';

/** A change that had no effect. */
const refusedChange = (code: string, message: string): Change => ({
  verdict: 'notRun',
  revision: 0,
  refusalCode: code,
  message,
});

export default refusedChange;
