import { createNotRunError, toRefusal } from '@auburngrade/coordination';
import { expect } from 'chai';
import waitWhileKeyIsValid from './waitWhileKeyIsValid';

describe('whileKeyIsValid', () => {
  const listeners = new Set<() => void>();
  let isValid = true;
  const validity = {
    check: () => {
      if (!isValid) throw createNotRunError('unauthenticated', 'the key was withdrawn');
    },
    onKeysChanged: (listener: () => void) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };

  it('rejects a waiting request as soon as its key is withdrawn', async () => {
    const pendingRequest = waitWhileKeyIsValid(new Promise(() => {}), validity);
    isValid = false;
    listeners.forEach((listener) => listener());
    const error = await pendingRequest.catch((failure: Error) => failure);
    expect(toRefusal(error).code).to.equal('unauthenticated');
    expect(listeners.size).to.equal(0);
  });

  it('resolves while the key is valid and unsubscribes', async () => {
    isValid = true;
    await waitWhileKeyIsValid(Promise.resolve(), validity);
    expect(listeners.size).to.equal(0);
  });
});
