import { readFileSync } from 'node:fs';
import { resolve } from 'node:path';
import { expect } from 'chai';
import { format } from 'prettier';
import maskSecrets from './maskSecrets';
import parseSettings from './parseSettings';
import renderSettingsReference from './renderSettingsReference';

const VALID_SETTINGS = {
  vm: 'waco-1',
  dataCentre: 'waco',
  callerPort: 7001,
  vmPort: 7002,
  operatorPort: 7003,
  httpPort: 7004,
  platform: { address: '127.0.0.1:2379' },
  tls: { callers: 'plain', operators: 'plain', vms: 'plain' },
};

const parse = (changes: object) => () =>
  parseSettings(JSON.stringify({ ...VALID_SETTINGS, ...changes }));

describe('settings', () => {
  describe('a wrong field', () => {
    it('is named with its path', () => {
      expect(parse({ colour: 'red' })).to.throw('colour: unknown field');
      expect(parse({ callerPort: 'x' })).to.throw('callerPort: Invalid input');
      expect(() => parseSettings('{')).to.throw('(settings): ');
    });

    it('is told the field with the unit when the unit is wrong or missing', () => {
      const platform = { address: 'a:1', timeoutS: 1 };
      expect(parse({ platform })).to.throw('the field with its unit is platform.timeoutMs');
    });
  });

  describe('clashing ports', () => {
    it('are refused', () => {
      expect(parse({ vmPort: 7001 })).to.throw('vmPort: clashes with callerPort');
    });
  });

  describe('effective settings', () => {
    it('show no secret', () => {
      const masked = maskSecrets({
        platform: { password: 'hidden' },
        list: [{ apiKey: 'hidden' }],
      });
      expect(JSON.stringify(masked)).not.to.include('hidden');
    });
  });

  describe('the settings reference', () => {
    it('is current (npm run settings-reference)', async () => {
      const file = resolve(import.meta.dirname, '../../../../docs/SETTINGS.md');
      const expected = await format(renderSettingsReference(), { parser: 'markdown' });
      expect(readFileSync(file, 'utf8')).to.equal(expected);
    });
  });
});
