import type { EvacuationPhase } from '@auburngrade/coordination';
import { Counter, Gauge, type Registry } from 'prom-client';

const PHASE_NUMBERS: Record<EvacuationPhase, number> = {
  inService: 0,
  evacuating: 1,
  evacuated: 2,
};

interface VmReadings {
  sessions(): number;
  configurationVersion(): number;
  isVoter(): boolean;
  storeEra(): number;
  /** All data centres of the deployment, by their evacuation. */
  evacuations(): { dataCentre: string; phase: EvacuationPhase }[];
  callerConnections(): number;
  /** Bytes that callers make this VM hold, by use. */
  callerMemory(): Readonly<Record<string, number>>;
  /** Callers and forwarded calls that were refused, by reason. */
  callerRefusals(): ReadonlyMap<string, number>;
  groups(): {
    group: string;
    waiting: number;
    underWay: number;
    transactions: number;
    /** How many of its endpoints are in each phase of an evacuation. */
    endpointPhases: Record<EvacuationPhase, number>;
    forecastWaitS: number;
    refusals: ReadonlyMap<string, number>;
  }[];
}

/** Registers gauges for sessions, configuration version and group load of a VM on the platform. */
const addSiteGauges = (registry: Registry, readings: VmReadings): void => {
  const registers = [registry];
  const gauge = (name: string, help: string, read: () => number): void => {
    const created: Gauge = new Gauge({
      name,
      help,
      registers,
      collect: () => created.set(read()),
    });
  };
  gauge('auburngrade_sessions', 'Open sessions of callers', readings.sessions);
  gauge(
    'auburngrade_configuration_version',
    'Version of the configuration in force',
    readings.configurationVersion,
  );
  gauge(
    'auburngrade_store_era',
    'Era of the store; rises when it comes back from a copy',
    readings.storeEra,
  );
  gauge('auburngrade_vm_voter', '1 on a voter, 0 on an observer', () => Number(readings.isVoter()));
  const evacuationGauge: Gauge = new Gauge({
    name: 'auburngrade_evacuation_phase',
    help: 'Evacuation of a data centre: 0 in service, 1 gets no new work, 2 nothing is sent to it',
    labelNames: ['data_centre'],
    registers,
    collect: () => {
      evacuationGauge.reset();
      readings
        .evacuations()
        .forEach(({ dataCentre, phase }) =>
          evacuationGauge.set({ data_centre: dataCentre }, PHASE_NUMBERS[phase]),
        );
    },
  });
  gauge(
    'auburngrade_caller_connections',
    'Open connections of callers',
    readings.callerConnections,
  );
  const memoryGauge: Gauge = new Gauge({
    name: 'auburngrade_caller_memory_bytes',
    help: 'Memory held for callers, and for calls of other VMs',
    labelNames: ['use'],
    registers,
    collect: () =>
      Object.entries(readings.callerMemory()).forEach(([use, bytes]) =>
        memoryGauge.set({ use }, bytes),
      ),
  });
  const limitedCounter: Counter = new Counter({
    name: 'auburngrade_caller_limited_total',
    help: 'Callers that were refused or disconnected, and calls of other VMs that were refused',
    labelNames: ['reason'],
    registers,
    collect: () => {
      limitedCounter.reset();
      readings.callerRefusals().forEach((count, reason) => limitedCounter.inc({ reason }, count));
    },
  });
  const endpointGauge: Gauge = new Gauge({
    name: 'auburngrade_group_endpoints',
    help: 'Endpoints of a group owned by this VM, by the phase of their evacuation',
    labelNames: ['group', 'phase'],
    registers,
    collect: () => {
      endpointGauge.reset();
      readings
        .groups()
        .forEach(({ group, endpointPhases }) =>
          Object.entries(endpointPhases).forEach(([phase, count]) =>
            endpointGauge.set({ group, phase }, count),
          ),
        );
    },
  });
  const groupGauge = (
    name: string,
    help: string,
    field: 'waiting' | 'underWay' | 'transactions' | 'forecastWaitS',
  ): void => {
    const created: Gauge = new Gauge({
      name,
      help,
      labelNames: ['group'],
      registers,
      collect: () => {
        created.reset();
        readings.groups().forEach((entry) => created.set({ group: entry.group }, entry[field]));
      },
    });
  };
  groupGauge('auburngrade_group_waiting', 'Statements that wait for a slot', 'waiting');
  groupGauge('auburngrade_group_under_way', 'Statements under way at endpoints', 'underWay');
  groupGauge('auburngrade_group_transactions', 'Open transactions', 'transactions');
  groupGauge(
    'auburngrade_group_forecast_wait_seconds',
    'Forecast time until all that waits has started; 0 while it is unsure',
    'forecastWaitS',
  );
  const refusalCounter: Counter = new Counter({
    name: 'auburngrade_group_refusals_total',
    help: 'Statements refused as busy by the owner of their group, by reason',
    labelNames: ['group', 'reason'],
    registers,
    collect: () => {
      refusalCounter.reset();
      readings.groups().forEach(({ group, refusals }) => {
        refusals.forEach((count, reason) => refusalCounter.inc({ group, reason }, count));
      });
    },
  });
};

export default addSiteGauges;
