import { Gauge, type Registry } from 'prom-client';

interface ConfigurationFacts {
  revision(): number;
  confirmedAtMs(): number;
  followerCount(): number;
  isRelay(): boolean;
  areKeysVouched(): boolean;
  nowMs(): number;
}

const MS_PER_S = 1_000;

/** Registers what a VM knows about the age of its configuration; read when metrics are scraped. */
const createConfigurationMetrics = (registry: Registry, facts: ConfigurationFacts): void => {
  const gauge = (name: string, help: string, read: () => number): void => {
    const created: Gauge = new Gauge({
      name: `auburngrade_${name}`,
      help,
      registers: [registry],
      collect: () => created.set(read()),
    });
  };
  gauge('configuration_revision', 'Revision up to which every change is known.', facts.revision);
  gauge(
    'configuration_confirmed_age_seconds',
    'Time since the platform confirmed the configuration, to this VM or its source.',
    () => (facts.nowMs() - facts.confirmedAtMs()) / MS_PER_S,
  );
  gauge('configuration_followers', 'VMs that follow this one.', facts.followerCount);
  gauge('configuration_is_relay', '1 while this VM watches the platform itself.', () =>
    Number(facts.isRelay()),
  );
  gauge('keys_vouched', '1 while keys are accepted by a recent configuration.', () =>
    Number(facts.areKeysVouched()),
  );
};

export default createConfigurationMetrics;
