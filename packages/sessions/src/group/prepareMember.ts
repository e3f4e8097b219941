import MemberLinkError from '../seams/memberLinkError';
import type MemberCommand from '../seams/memberCommand';
import type { PreparedStatement } from '../generated/auburngrade/session/v1/session';
import type MemberPool from './memberPool';
import type PooledMember from './pooledMember';
import valuesKeyOf from './valuesKeyOf';

const shapeKey = ({ isWrite, shape }: PreparedStatement): string =>
  `${isWrite ? 'w' : 'r'} ${shape}`;

/**
 * Brings a member connection to the state that a session expects: its values, and the prepared
 * statement that comes next. The commands go out together, and all must succeed before the
 * statement itself is sent. @throws MemberLinkError
 */
const prepareMember = async (
  pool: MemberPool,
  lent: PooledMember,
  values: ReadonlyMap<string, string>,
  prepared: PreparedStatement | undefined,
): Promise<void> => {
  const member = lent;
  const commands: MemberCommand[] = [];
  const valuesKey = valuesKeyOf(values);
  if (member.valuesKey !== valuesKey) {
    // Values cannot be unset one by one; within a transaction a session only adds or changes them.
    if ([...member.values.keys()].some((name) => !values.has(name))) {
      commands.push({ kind: 'reset' });
      member.prepared.clear();
      member.values = new Map();
    }
    const present = member.values;
    values.forEach((value, name) => {
      if (present.get(name) !== value) commands.push({ kind: 'setValue', name, value });
    });
  }
  const key = prepared && shapeKey(prepared);
  if (prepared && key !== undefined && !member.prepared.has(key)) {
    const name = `p${member.prepared.size + 1}`;
    member.prepared.set(key, name);
    const { isWrite, shape } = prepared;
    commands.push({ kind: 'prepare', name, isWrite, shape });
  }
  if (commands.length === 0) return;
  member.valuesKey = valuesKey;
  member.values = new Map(values);
  const replies = await Promise.all(commands.map((command) => pool.ask(member, command)));
  const failure = replies.find((reply) => reply.failure)?.failure;
  if (failure) throw new MemberLinkError(failure.kind, failure.message);
};

/** The name under which a statement is prepared on a connection. */
const preparedName = (member: PooledMember, prepared: PreparedStatement): string =>
  member.prepared.get(shapeKey(prepared)) ?? '';

export default Object.assign(prepareMember, { preparedName });
