import type createFleet from './createFleet';

type Fleet = ReturnType<typeof createFleet>;

export default Fleet;
