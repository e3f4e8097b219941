import { expect } from 'chai';
import parseSettings from './parseSettings';
import reportChangedSettings from './reportChangedSettings';
import type Settings from './settings';

const SETTINGS = {
  vm: 'waco-1',
  dataCentre: 'waco',
  callerPort: 10_001,
  vmPort: 10_002,
  operatorPort: 10_003,
  httpPort: 10_004,
  platform: { address: '127.0.0.1:10005' },
  tls: { callers: 'plain', operators: 'plain', vms: 'plain' },
};

const parse = (changes: object = {}): Settings =>
  parseSettings(JSON.stringify({ ...SETTINGS, ...changes }));

const report = (read: () => Settings): [string, unknown][] => {
  const lines: [string, unknown][] = [];
  const note = (event: string, fields?: unknown): void => {
    lines.push([event, fields]);
  };
  reportChangedSettings({ inForce: parse(), read, logger: { info: note, warn: note } });
  return lines;
};

describe('reportChangedSettings', () => {
  it('names the settings that differ from those in force', () => {
    const lines = report(() => parse({ shutdown: { noticeMs: 1 }, log: { level: 'debug' } }));
    const changed = ['log', 'shutdown'];
    expect(lines).to.deep.equal([['settings.changed', { changed, needsRestart: true }]]);
  });

  it('says when nothing has changed', () => {
    const lines = report(() => parse());
    expect(lines).to.deep.equal([['settings.changed', { changed: [], needsRestart: false }]]);
  });

  it('reports a file that cannot be read, and throws nothing', () => {
    const lines = report(() => parseSettings('{'));
    expect(lines.map(([event]) => event)).to.deep.equal(['settings.unreadable']);
  });
});
