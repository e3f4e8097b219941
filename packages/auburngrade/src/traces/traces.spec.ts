import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { createConfigurationState, type ConfigurationEntry } from '@auburngrade/coordination';
import { TraceDriver, replayTrace } from '@auburngrade/testkit';
import { expect } from 'chai';

interface Change {
  revision: number;
  entries: ConfigurationEntry[];
}

class ConfigurationDriver extends TraceDriver {
  private readonly state = createConfigurationState();

  override apply(name: string, input: unknown): void {
    const { revision, entries } = input as Change;
    if (name === 'snapshot') this.state.applySnapshot(revision, entries);
    else this.state.applyChanges(revision, entries);
  }

  override observe(name: string, input: unknown): unknown {
    if (name === 'revision') return this.state.revision();
    return this.state.get('account', String(input))?.limit.ratePerS ?? null;
  }
}

const read = (name: string): string => readFileSync(join(import.meta.dirname, name), 'utf8');

describe('recorded traces', () => {
  describe('configurationState', () => {
    it('keeps to the stated outcomes when the store answers from the past', () => {
      const text = read('staleStoreAnswers.jsonl');
      expect(replayTrace(text, 'configurationState', new ConfigurationDriver())).to.deep.equal([]);
    });
  });
});
