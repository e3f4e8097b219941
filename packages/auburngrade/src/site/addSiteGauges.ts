import { Gauge, type Registry } from 'prom-client';

interface SiteState {
  sessions(): number;
  configurationVersion(): number;
  groups(): { group: string; waiting: number; underWay: number; transactions: number }[];
}

/** Adds what a VM on the platform is and does now to its metrics. */
const addSiteGauges = (registry: Registry, state: SiteState): void => {
  const registers = [registry];
  const gauge = (name: string, help: string, read: () => number): void => {
    const created: Gauge = new Gauge({
      name,
      help,
      registers,
      collect: () => created.set(read()),
    });
  };
  gauge('auburngrade_sessions', 'Open sessions of callers', state.sessions);
  gauge(
    'auburngrade_configuration_version',
    'Version of the configuration in force',
    state.configurationVersion,
  );
  const groupGauge = (
    name: string,
    help: string,
    field: 'waiting' | 'underWay' | 'transactions',
  ): void => {
    const created: Gauge = new Gauge({
      name,
      help,
      labelNames: ['group'],
      registers,
      collect: () => {
        created.reset();
        state.groups().forEach((entry) => created.set({ group: entry.group }, entry[field]));
      },
    });
  };
  groupGauge('auburngrade_group_waiting', 'Statements that wait for a slot', 'waiting');
  groupGauge('auburngrade_group_under_way', 'Statements under way at endpoints', 'underWay');
  groupGauge('auburngrade_group_transactions', 'Open transactions', 'transactions');
};

export default addSiteGauges;
