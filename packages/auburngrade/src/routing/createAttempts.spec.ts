import { RefusalError, notRun } from '@auburngrade/coordination';
import { expect } from 'chai';
import createAttempts from './createAttempts';

const later = <Value>(value: Value, delayMs: number): Promise<Value> =>
  new Promise((resolve) => {
    setTimeout(() => resolve(value), delayMs);
  });

const codeOf = (attempt: Promise<string>): Promise<string> =>
  attempt.catch((error: RefusalError) => `${error.refusal.verdict} ${error.refusal.code}`);

describe('createAttempts', () => {
  const silent = (answer: Promise<string>) => (onSilent: () => void) => {
    setTimeout(onSilent, 1);
    return answer;
  };

  it('fails an attempt whose VM is silent as one that may have run', async () => {
    const { make } = createAttempts<string>();
    const outcome = await codeOf(make('waco-1', silent(later('late', 1_000))));
    expect(outcome).to.equal('mayHaveRun peerUnreachable');
  });

  it('takes the late answer of a silent VM during the next attempt', async () => {
    const { make } = createAttempts<string>();
    await codeOf(make('waco-1', silent(later('first', 20))));
    expect(await make('temple-1', () => later('second', 1_000))).to.equal('first');
  });

  it('takes the late answer after the last attempt, within the time given', async () => {
    const { make, lateAnswer } = createAttempts<string>();
    await codeOf(make('waco-1', silent(later('first', 50))));
    const refusal = notRun('queueFull', 'full');
    expect(await codeOf(lateAnswer(5, refusal))).to.equal('notRun queueFull');
    expect(await codeOf(lateAnswer(500, refusal))).to.equal('first');
  });

  it('gives the refusal at once when no VM is silent', async () => {
    const { lateAnswer } = createAttempts<string>();
    expect(await codeOf(lateAnswer(10_000, notRun('queueFull', 'full')))).to.equal(
      'notRun queueFull',
    );
  });
});
