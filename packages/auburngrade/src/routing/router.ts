import type createRouter from './createRouter';

/** Sends statements to VMs that hold their group's connections. */
type Router = ReturnType<typeof createRouter>;

export default Router;
