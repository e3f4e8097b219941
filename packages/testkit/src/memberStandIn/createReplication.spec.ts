import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import freePort from '../process/freePort';
import createMemberLog from './createMemberLog';
import createReplication from './createReplication';

const HOST = '127.0.0.1';
const LAG_MS = 300;
const STEP_MS = 10;

describe('replication between stand-in members', () => {
  it('never takes the log of a replica back when the lag gets shorter', async () => {
    const port = await freePort();
    const upstream = createMemberLog();
    createReplication(upstream, () => 0).listen(port, HOST);
    const commit = (): void => {
      upstream.commit(1, [{ table: 'items', key: 'lot', row: { value: '1' } }]);
    };
    commit();
    let lagMs = LAG_MS;
    const replica = createMemberLog();
    const following = createReplication(replica, () => lagMs);
    following.follow(HOST, port);
    await sleep(LAG_MS / 3);
    lagMs = 1;
    commit();
    const positions: number[] = [];
    for (let elapsedMs = 0; elapsedMs < 2 * LAG_MS; elapsedMs += STEP_MS) {
      await sleep(STEP_MS);
      positions.push(replica.position());
    }
    following.stop();
    expect(positions).to.deep.equal(positions.toSorted((a, b) => a - b));
    expect(positions.at(-1)).to.equal(2);
  });
});
