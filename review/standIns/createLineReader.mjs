/** Splits a byte stream into lines that end with CR LF, as the wire protocol has them. */
const createLineReader = (onLine) => {
  let pending = '';
  return (chunk) => {
    const lines = (pending + chunk.toString('latin1')).split('\r\n');
    pending = lines.pop() ?? '';
    lines.forEach(onLine);
  };
};

export default createLineReader;
