/** Returns etcd's `range_end` for a prefix: the first key after all keys with it. */
const prefixEnd = (prefix: string): Buffer => {
  const end = Buffer.from(prefix, 'utf8');
  const lastIndex = end.length - 1;
  end[lastIndex] = (end[lastIndex] ?? 0) + 1;
  return end;
};

export default prefixEnd;
