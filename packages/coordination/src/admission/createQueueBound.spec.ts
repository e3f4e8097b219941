import { expect } from 'chai';
import createQueueBound from './createQueueBound';

describe('createQueueBound', () => {
  interface Arrival {
    account: string;
    bytes?: number;
  }
  /** Queues arrivals of which none starts; returns what is refused, as account and number of arrival. */
  const replay = (arrivals: readonly Arrival[]): string[] => {
    const bound = createQueueBound<string>({ entries: 10, bytes: 1_000 });
    return arrivals.flatMap(({ account, bytes = 1 }, index) => {
      bound.add(`${account}${index}`, account, bytes);
      return bound.takeExcess();
    });
  };
  const arrive = (account: string, count: number, bytes = 1): Arrival[] =>
    Array.from({ length: count }, () => ({ account, bytes }));

  // Guards against accounts that lose their places to one that sends too much.
  it('refuses the newest of the account with most entries, whoever arrives', () => {
    expect(replay([...arrive('a', 9), ...arrive('b', 3)])).to.deep.equal(['a8', 'a7']);
    expect(replay([...arrive('b', 2), ...arrive('a', 10)])).to.deep.equal(['a10', 'a11']);
  });

  it('refuses the account with most bytes when the bytes are short', () => {
    expect(replay([...arrive('a', 2, 400), ...arrive('b', 4, 60)])).to.deep.equal(['a1']);
  });

  it('gives room again to an account whose items have left', () => {
    const bound = createQueueBound<number>({ entries: 2, bytes: 1_000 });
    for (let item = 0; item < 500; item += 1) {
      bound.add(item, 'a', 400);
      expect(bound.takeExcess()).to.deep.equal([]);
      if (item > 0) bound.remove(item - 1);
    }
    bound.add(500, 'a', 400);
    bound.add(501, 'a', 100);
    expect(bound.takeExcess()).to.deep.equal([501]);
  });
});
