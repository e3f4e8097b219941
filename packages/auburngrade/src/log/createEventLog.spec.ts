import { expect } from 'chai';
import createEventLog from './createEventLog';

describe('createEventLog', () => {
  const createFixture = (accepts = (): boolean => true) => {
    const lines: Record<string, unknown>[] = [];
    const clock = { ms: 0 };
    const log = createEventLog({
      vm: `vm-${Math.random()}`,
      nowMs: () => clock.ms,
      write: (line) => {
        if (!accepts()) return false;
        lines.push(JSON.parse(line));
        return true;
      },
    });
    return { lines, clock, log };
  };

  it('writes one JSON object per line with the event and its fields', () => {
    const { lines, log } = createFixture();
    log.warn('link.lost', { peer: 'vm-2' });
    expect(lines[0]).to.deep.include({ level: 'warn', event: 'link.lost', peer: 'vm-2' });
  });

  it('limits the lines of a frequent event and logs how many were suppressed', () => {
    const { lines, log, clock } = createFixture();
    for (let index = 0; index < 500; index += 1) log.info('request.refused', { index });
    log.info('daemon.stopping');
    expect(lines).to.have.length(21);
    clock.ms = 1_001;
    log.info('request.refused');
    expect(lines.find(({ event }) => event === 'log.leftOut')).to.deep.include({
      of: 'request.refused',
      lines: 480,
    });
  });

  // Guards against callers that fill the log with request ids of a megabyte.
  it('shortens long texts, also in lists', () => {
    const { lines, log } = createFixture();
    const longText = 'x'.repeat(1_000_000);
    log.info('session.cut', { request: longText, pending: ['n1', longText] });
    const shortText = `${'x'.repeat(4_000)}…`;
    expect(lines[0]).to.deep.include({ request: shortText, pending: ['n1', shortText] });
  });

  it('does not throw when the output rejects lines', () => {
    const { lines, log } = createFixture(() => false);
    log.info('daemon.stopping');
    expect(lines).to.have.length(0);
  });
});
