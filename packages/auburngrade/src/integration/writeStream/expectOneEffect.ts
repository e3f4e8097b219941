import assert from 'node:assert/strict';
import type { Fleet } from '@auburngrade/testkit';
import type createWriteStream from './createWriteStream';
import readTerm from './readTerm';

type WriteStream = ReturnType<typeof createWriteStream>;

/**
 * Compares what callers were told with the log of the group's primary: what ran is in
 * it once, what did not run is absent, and only open requests lie between.
 */
const expectOneEffect = async (
  fleet: Fleet,
  group: string,
  stream: WriteStream,
): Promise<Awaited<ReturnType<WriteStream['stop']>>> => {
  const tally = await stream.stop();
  const record = await readTerm(fleet, group);
  const { items, requests } = await fleet.member(record?.primary ?? '').state();
  const value = Number(items[stream.item]);
  const stateOf = (id: string): string | undefined => requests[`ranch/${id}`];
  assert(value >= tally.ranCount, `${value} effects, ${tally.ranCount} acknowledged`);
  const mostEffects = tally.ranCount + tally.mayHaveRunCount;
  assert(value <= mostEffects, `${value} effects, at most ${mostEffects} told`);
  assert.deepEqual(
    tally.ranIds.filter((id) => stateOf(id) !== 'run'),
    [],
  );
  assert.deepEqual(
    tally.notRunIds.filter((id) => stateOf(id) === 'run'),
    [],
  );
  return tally;
};

export default expectOneEffect;
