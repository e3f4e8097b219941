const TYPE_BYTES = 1;
const LENGTH_BYTES = 4;

/** Cuts a byte stream of the PostgreSQL protocol into messages and handles them in order. */
const createMessageQueue = (handle: (message: Buffer) => Promise<void>) => {
  let buffered: Buffer = Buffer.alloc(0);
  let previous = Promise.resolve();

  const takeMessage = (): Buffer | undefined => {
    if (buffered.length < TYPE_BYTES + LENGTH_BYTES) return undefined;
    const length = TYPE_BYTES + buffered.readUInt32BE(TYPE_BYTES);
    if (buffered.length < length) return undefined;
    const message = buffered.subarray(0, length);
    buffered = buffered.subarray(length);
    return message;
  };

  return (data: Buffer): void => {
    buffered = Buffer.concat([buffered, data]);
    for (let message = takeMessage(); message; message = takeMessage()) {
      const current = message;
      previous = previous.then(() => handle(current));
    }
  };
};

export default createMessageQueue;
