/** Resolves once the event loop has looked for input. */
const waitForNextTurn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

export default waitForNextTurn;
