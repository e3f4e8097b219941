import type createGroupRouter from './createGroupRouter';

type GroupRouter = ReturnType<typeof createGroupRouter>;

export default GroupRouter;
