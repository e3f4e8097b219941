import type createCallerGuard from './createCallerGuard';

type CallerGuard = ReturnType<typeof createCallerGuard>;

export default CallerGuard;
