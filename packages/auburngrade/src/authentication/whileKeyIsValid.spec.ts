import { notRun, toRefusal } from '@auburngrade/coordination';
import { expect } from 'chai';
import whileKeyIsValid from './whileKeyIsValid';

describe('a request that waits before it runs', () => {
  const listeners = new Set<() => void>();
  let isValid = true;
  const validity = {
    check: () => {
      if (!isValid) throw notRun('unauthenticated', 'the key was withdrawn');
    },
    onKeysChanged: (listener: () => void) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };

  it('is refused as soon as its key is withdrawn', async () => {
    const waiting = whileKeyIsValid(new Promise(() => {}), validity);
    isValid = false;
    listeners.forEach((listener) => listener());
    const error = await waiting.catch((failure: Error) => failure);
    expect(toRefusal(error).code).to.equal('unauthenticated');
    expect(listeners.size).to.equal(0);
  });

  it('goes on with its key, and is watched no longer', async () => {
    isValid = true;
    await whileKeyIsValid(Promise.resolve(), validity);
    expect(listeners.size).to.equal(0);
  });
});
