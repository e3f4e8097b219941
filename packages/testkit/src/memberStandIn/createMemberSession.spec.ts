import { expect } from 'chai';
import freePort from '../process/freePort';
import createMember from './createMember';
import createMemberSession from './createMemberSession';
import memberSettingsSchema from './memberSettingsSchema';

const ADD = "UPDATE items SET value = value + 1 WHERE key = 'lot'";

describe('row locks of a stand-in member', () => {
  let member: ReturnType<typeof createMember>;

  const startWrite = async () => {
    const session = createMemberSession(member);
    await session.run('BEGIN READ WRITE', []);
    return { session, write: session.run(ADD, []) };
  };

  const expectFree = async (): Promise<void> => {
    const { session, write } = await startWrite();
    await write;
    await session.run('COMMIT', []);
    expect(member.log.row('items', 'lot')?.value).to.equal('1');
  };

  beforeEach(async () => {
    const [port, replicationPort, controlPort] = [
      await freePort(),
      await freePort(),
      await freePort(),
    ];
    const settings = { name: 'm1', port, replicationPort, controlPort };
    member = createMember(memberSettingsSchema.parse(settings));
  });

  it('are not taken by a session that was closed while it waited', async () => {
    const holder = await startWrite();
    await holder.write;
    const waiting = await startWrite();
    waiting.session.close();
    holder.session.close();
    await waiting.write.catch(() => {});
    await expectFree();
  });

  it('end when the member stops being the primary', async () => {
    const silent = await startWrite();
    await silent.write;
    member.fence(2);
    member.promote(2);
    await expectFree();
  });
});
