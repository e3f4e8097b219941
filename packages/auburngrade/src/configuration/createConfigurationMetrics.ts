import { Gauge, type Registry } from 'prom-client';

interface ConfigurationReadings {
  revision(): number;
  confirmedAtMs(): number;
  followerCount(): number;
  isRelay(): boolean;
  areKeysVouched(): boolean;
  nowMs(): number;
}

const MS_PER_S = 1_000;

/** Registers gauges for the revision, age and source of a VM's configuration; read at each scrape. */
const createConfigurationMetrics = (registry: Registry, readings: ConfigurationReadings): void => {
  const gauge = (name: string, help: string, read: () => number): void => {
    const created: Gauge = new Gauge({
      name: `auburngrade_${name}`,
      help,
      registers: [registry],
      collect: () => created.set(read()),
    });
  };
  gauge('configuration_revision', 'Revision up to which every change is known.', readings.revision);
  gauge(
    'configuration_confirmed_age_seconds',
    'Time since the platform confirmed the configuration, to this VM or its source.',
    () => (readings.nowMs() - readings.confirmedAtMs()) / MS_PER_S,
  );
  gauge('configuration_followers', 'VMs that follow this one.', readings.followerCount);
  gauge('configuration_is_relay', '1 while this VM watches the platform itself.', () =>
    Number(readings.isRelay()),
  );
  gauge('keys_vouched', '1 while keys are accepted by a recent configuration.', () =>
    Number(readings.areKeysVouched()),
  );
};

export default createConfigurationMetrics;
