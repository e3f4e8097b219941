import { RefusalError, createNotRunError } from '@auburngrade/coordination';
import { expect } from 'chai';
import createRequestAttempts from './createRequestAttempts';

const resolveLater = <Value>(value: Value, delayMs: number): Promise<Value> =>
  new Promise((resolve) => {
    setTimeout(() => resolve(value), delayMs);
  });

const codeOf = (attempt: Promise<string>): Promise<string> =>
  attempt.catch((error: RefusalError) => `${error.refusal.verdict} ${error.refusal.code}`);

describe('createRequestAttempts', () => {
  const silentAttempt = (answer: Promise<string>) => (onSilent: () => void) => {
    setTimeout(onSilent, 1);
    return answer;
  };

  it('rejects an attempt at a silent VM with mayHaveRun', async () => {
    const { run: make } = createRequestAttempts<string>();
    const outcome = await codeOf(make('waco-1', silentAttempt(resolveLater('late', 1_000))));
    expect(outcome).to.equal('mayHaveRun peerUnreachable');
  });

  it('uses the late answer of a silent VM during the next attempt', async () => {
    const { run: make } = createRequestAttempts<string>();
    await codeOf(make('waco-1', silentAttempt(resolveLater('first', 20))));
    expect(await make('temple-1', () => resolveLater('second', 1_000))).to.equal('first');
  });

  it('uses the late answer after the last attempt, within the given time', async () => {
    const { run: make, waitForLateAnswer: lateAnswer } = createRequestAttempts<string>();
    await codeOf(make('waco-1', silentAttempt(resolveLater('first', 50))));
    const refusal = createNotRunError('queueFull', 'full');
    expect(await codeOf(lateAnswer(5, refusal))).to.equal('notRun queueFull');
    expect(await codeOf(lateAnswer(500, refusal))).to.equal('first');
  });

  it('rejects with the refusal at once when no VM is silent', async () => {
    const { waitForLateAnswer: lateAnswer } = createRequestAttempts<string>();
    expect(await codeOf(lateAnswer(10_000, createNotRunError('queueFull', 'full')))).to.equal(
      'notRun queueFull',
    );
  });
});
