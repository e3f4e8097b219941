interface KeyValidity {
  /** @throws RefusalError when the key is no longer valid. */
  check(): void;
  /** Calls the listener whenever keys may have changed; returns the function to unsubscribe. */
  onKeysChanged(listener: () => void): () => void;
}

/** Waits for `work`, which a request needs before it runs; rejects once its key is invalid. */
const waitWhileKeyIsValid = async (
  work: Promise<void>,
  { check, onKeysChanged }: KeyValidity,
): Promise<void> => {
  let unsubscribe = (): void => {};
  const keyInvalid = new Promise<never>((_resolve, reject) => {
    unsubscribe = onKeysChanged(() => {
      try {
        check();
      } catch (error) {
        reject(error);
      }
    });
  });
  try {
    await Promise.race([work, keyInvalid]);
  } finally {
    unsubscribe();
  }
};

export default waitWhileKeyIsValid;
