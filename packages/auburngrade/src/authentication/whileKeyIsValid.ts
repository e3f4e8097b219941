interface KeyValidity {
  /** @throws RefusalError when the key is not valid any more. */
  check(): void;
  /** Calls the listener whenever keys may have changed; returns the function that stops it. */
  onKeysChanged(listener: () => void): () => void;
}

/** Waits for what a request needs before it runs, but no longer than its key is valid. */
const whileKeyIsValid = async (
  work: Promise<void>,
  { check, onKeysChanged }: KeyValidity,
): Promise<void> => {
  let stop = (): void => {};
  const invalid = new Promise<never>((_resolve, reject) => {
    stop = onKeysChanged(() => {
      try {
        check();
      } catch (error) {
        reject(error);
      }
    });
  });
  try {
    await Promise.race([work, invalid]);
  } finally {
    stop();
  }
};

export default whileKeyIsValid;
