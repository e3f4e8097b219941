import { expect } from 'chai';
import chooseReclaimed from './chooseReclaimed';
import createMemoryBudget from './createMemoryBudget';
import mayConnect from './mayConnect';
import shouldRead from './shouldRead';

describe('createMemoryBudget', () => {
  let closed: string[];
  let budget: ReturnType<typeof createMemoryBudget>;
  const hold = (name: string, account: string, bytes: number) => {
    const holder = budget.open(account, () => closed.push(name));
    holder.set('input', bytes);
    return holder;
  };
  beforeEach(() => {
    closed = [];
    budget = createMemoryBudget(1_000);
  });

  // Guards against a crowd that costs another account its message.
  it('closes holders of the largest account until the rest is within the budget', () => {
    hold('ordinary', 'ranch', 300);
    ['a', 'b', 'c', 'd'].forEach((name) => hold(name, 'mill', 200));
    expect([closed, budget.usedBytes()]).to.deep.equal([['a'], 900]);
    hold('late', 'ranch', 100);
    expect([closed, budget.isShort()]).to.deep.equal([['a'], true]);
  });

  it('closes what was left half-way before the message that has just come', () => {
    ['a', 'b', 'c'].forEach((name) => hold(name, 'ranch', 300));
    hold('ordinary', 'ranch', 400);
    expect(closed).to.deep.equal(['a']);
  });

  it('counts each use, and nothing of a holder that has released', () => {
    const holder = hold('a', 'ranch', 10);
    holder.set('statements', 20);
    holder.set('answers', 30);
    const before = { ...budget.bytesByUse() };
    holder.release();
    holder.set('answers', 40);
    expect([before, budget.usedBytes()]).to.deep.equal([
      { input: 10, statements: 20, answers: 30, state: 0, forwarded: 0 },
      0,
    ]);
  });

  it('refuses calls of the account that holds most, and takes those of others', () => {
    const release = budget.forward('mill', 900);
    expect(budget.forward('mill', 200)).to.equal(undefined);
    expect(budget.forward('ranch', 200)).to.be.a('function');
    release?.();
    expect(budget.bytesByUse().forwarded).to.equal(200);
  });

  it('chooses nobody within the budget', () => {
    const holders = [{ account: 'mill', heldBytes: 1_000, since: 1 }];
    expect(chooseReclaimed({ budgetBytes: 1_000, holders })).to.deep.equal([]);
  });
});

describe('shouldRead', () => {
  const idle = {
    outstandingStatements: 0,
    readAheadBytes: 0,
    unsentBytes: 0,
    isMemoryShort: false,
  };
  it('reads a message of any size while no statement runs', () => {
    expect(shouldRead({ ...idle, readAheadBytes: 1_048_576, isMemoryShort: true })).to.equal(true);
  });
  it('reads a few statements ahead, and not many', () => {
    expect(shouldRead({ ...idle, outstandingStatements: 4 })).to.equal(true);
    expect(shouldRead({ ...idle, outstandingStatements: 16 })).to.equal(false);
    expect(shouldRead({ ...idle, outstandingStatements: 1, readAheadBytes: 65_536 })).to.equal(
      false,
    );
  });
  it('reads nothing on while answers are not read', () => {
    expect(shouldRead({ ...idle, unsentBytes: 65_537 })).to.equal(false);
  });
});

describe('mayConnect', () => {
  const open = { maxConnections: 100, count: 0, ownCount: 0, partyCount: 1 };
  it('keeps the last tenth for parties that have less than an equal part', () => {
    const short = { ...open, count: 90 };
    expect(mayConnect({ ...open, count: 89, ownCount: 89, partyCount: 9 })).to.equal('yes');
    expect(mayConnect({ ...short, ownCount: 90 })).to.equal('overShare');
    expect(mayConnect({ ...short, ownCount: 50, partyCount: 2 })).to.equal('overShare');
    expect(mayConnect({ ...short, ownCount: 0, partyCount: 2 })).to.equal('yes');
    expect(mayConnect({ ...short, ownCount: 25, partyCount: 4 })).to.equal('overShare');
  });
  it('accepts nobody beyond the bound', () => {
    expect(mayConnect({ ...open, count: 100 })).to.equal('full');
  });
});
