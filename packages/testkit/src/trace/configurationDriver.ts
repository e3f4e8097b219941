import { createConfigurationState, type ConfigurationEntry } from '@auburngrade/coordination';
import TraceDriver from './traceDriver';

interface Change {
  revision: number;
  entries: ConfigurationEntry[];
}

/** Feeds a configuration state; observes its revision and the rates of client accounts. */
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

export default ConfigurationDriver;
