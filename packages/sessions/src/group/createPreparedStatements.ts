import { createHash } from 'node:crypto';
import { LRUCache } from 'lru-cache';
import type { PreparedStatement } from '../generated/auburngrade/session/v1/session';

/** Statements that stay prepared on one connection. */
const MAX_STATEMENTS = 128;
/** Bytes of their shapes, in UTF-8. A larger shape stays prepared alone. */
const MAX_SHAPE_BYTES = 2 ** 20;

type Shape = Pick<PreparedStatement, 'isWrite' | 'shape'>;

/** The text of a shape may be long, and is not kept. */
const toKey = ({ isWrite, shape }: Shape): string =>
  `${isWrite ? 'w' : 'r'} ${createHash('sha256').update(shape).digest('base64')}`;

/** The statements that are prepared on one connection to an endpoint, bounded by count and bytes. */
const createPreparedStatements = () => {
  let lastNumber = 0;
  let evictedNames: string[] = [];
  const names = new LRUCache<string, string>({
    max: MAX_STATEMENTS,
    maxSize: MAX_SHAPE_BYTES,
    dispose: (name, _key, reason) => {
      if (reason === 'evict') evictedNames.push(name);
    },
  });

  return {
    /**
     * Marks a statement as the most recently used. `toDeallocate` are the names of those that it replaces;
     * `isNew` tells that it has to be prepared under its name after that.
     */
    use: (statement: Shape): { name: string; isNew: boolean; toDeallocate: readonly string[] } => {
      const key = toKey(statement);
      const known = names.get(key);
      if (known !== undefined) return { name: known, isNew: false, toDeallocate: [] };
      lastNumber += 1;
      const name = `p${lastNumber}`;
      const size = Math.max(1, Buffer.byteLength(statement.shape));
      evictedNames = [];
      names.set(key, name, { size: Math.min(size, MAX_SHAPE_BYTES) });
      return { name, isNew: true, toDeallocate: evictedNames };
    },
    /** Call when the endpoint has dropped all of them. */
    clear: (): void => names.clear(),
  };
};

export default createPreparedStatements;
