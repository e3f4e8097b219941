import type createArrivalCounts from './createArrivalCounts';

type ArrivalCounts = ReturnType<typeof createArrivalCounts>;

export default ArrivalCounts;
