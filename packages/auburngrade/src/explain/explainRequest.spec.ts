import { expect } from 'chai';
import explainRequest from './explainRequest';
import readLogLines from './readLogLines';

const at = (second: number): string => new Date(second * 1_000).toISOString();
const line = (second: number, vm: string, event: string, fields = {}): string =>
  JSON.stringify({ at: at(second), level: 'info', vm, event, ...fields });
const LOGS = [
  `12.0 vm-1 ${line(20, 'vm-1', 'request.refused', { request: 'q1', group: 'lots', code: 'busy', reason: 'the group has no primary now' })}`,
  line(19, 'vm-1', 'primary.replacing', { group: 'lots', endpoint: 'i-1', reason: 'lost' }),
  line(18, 'vm-1', 'endpoint.down', { group: 'lots', endpoint: 'i-1', reason: 'silent' }),
  line(18.5, 'vm-1', 'primary.replacing', { group: 'bales', endpoint: 'i-7' }),
  line(17, 'vm-2', 'link.lost', { peer: 'vm-3' }),
  line(17, 'vm-1', 'store.lost', { prefix: 'op' }),
  line(20.2, 'vm-1', 'request.refused', { request: 'q2', group: 'lots' }),
  line(21, 'vm-1', 'endpoint.up', { group: 'lots', endpoint: 'i-1' }),
  'not a log line {',
].join('\n');

describe('explainRequest', () => {
  it('returns the lines of a request and the state changes that affected it, in order', () => {
    const { life, context } = explainRequest(readLogLines(LOGS), 'q1');
    expect(life.map(({ code }) => code)).to.deep.equal(['busy']);
    expect(context.map(({ event }) => event)).to.deep.equal([
      'store.lost',
      'endpoint.down',
      'primary.replacing',
    ]);
  });

  it('returns nothing for a request that no line names', () => {
    expect(explainRequest(readLogLines(LOGS), 'q9')).to.deep.equal({ life: [], context: [] });
  });
});
