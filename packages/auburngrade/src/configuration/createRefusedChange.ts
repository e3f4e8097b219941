import type { Change } from '@auburngrade/operator';

/** Creates the reply to a change that was refused and had no effect. */
const createRefusedChange = (code: string, message: string): Change => ({
  verdict: 'notRun',
  revision: 0,
  refusalCode: code,
  message,
});

export default createRefusedChange;
