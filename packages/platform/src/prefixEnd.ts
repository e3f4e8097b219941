/** The first key after all keys that start with the prefix, as etcd's `range_end` wants it. */
const prefixEnd = (prefix: string): Buffer => {
  const end = Buffer.from(prefix, 'utf8');
  const last = end.length - 1;
  end[last] = (end[last] ?? 0) + 1;
  return end;
};

export default prefixEnd;
