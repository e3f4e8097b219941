import {
  documentKinds,
  updateEvacuationStarts,
  type ConfigurationState,
  type EvacuationPhase,
} from '@auburngrade/coordination';
import { Gauge, type Registry } from 'prom-client';
import type Logger from '../log/logger';
import listEvacuatedDataCentres from './listEvacuatedDataCentres';

interface DataCentresOptions {
  configuration: ConfigurationState;
  /** How long what runs in a data centre may go on once this VM knows of its evacuation. */
  drainTimeoutMs: number;
  registry: Registry;
  logger: Logger;
  nowMs(): number;
}

const { prefix } = documentKinds.dataCentre;
/** Timers may run this much early against the monotonic clock. */
const TIMER_SLACK_MS = 2;

/** Tracks which data centres are evacuated; logs and measures the changes. */
const createDataCentres = (options: DataCentresOptions) => {
  const { configuration, drainTimeoutMs, logger, nowMs } = options;
  const listeners = new Set<() => void>();
  let evacuated: ReadonlySet<string> = new Set();
  /** Whether this VM has loaded its configuration; until then nothing of it runs anywhere. */
  let isLoaded = false;
  let startsMs: ReadonlyMap<string, number> = new Map();

  const notify = (): void => listeners.forEach((listener) => listener());

  const logChange = (dataCentre: string, state: 'evacuated' | 'inService'): void =>
    logger.info('dataCentre.changed', {
      dataCentre,
      state,
      revision: configuration.getDocumentRevision('dataCentre', dataCentre),
    });

  const update = (): void => {
    const before = evacuated;
    evacuated = listEvacuatedDataCentres(configuration);
    const startMs = isLoaded ? nowMs() : Number.NEGATIVE_INFINITY;
    startsMs = updateEvacuationStarts(startsMs, [...evacuated], startMs);
    const begun = [...evacuated].filter((name) => !before.has(name));
    const ended = [...before].filter((name) => !evacuated.has(name));
    begun.forEach((name) => logChange(name, 'evacuated'));
    ended.forEach((name) => logChange(name, 'inService'));
    if (begun.length + ended.length === 0) return;
    notify();
    if (begun.length > 0) setTimeout(notify, drainTimeoutMs + TIMER_SLACK_MS).unref();
  };

  configuration.onChange((changed) => {
    if (changed.some(({ key }) => key.startsWith(prefix))) update();
    isLoaded = true;
  });

  const gauge: Gauge = new Gauge({
    name: 'auburngrade_data_centre_evacuated',
    help: '1 while operators evacuate the data centre, 0 while it has a document and is in service.',
    labelNames: ['data_centre'],
    registers: [options.registry],
    collect: () => {
      gauge.reset();
      configuration
        .listNames('dataCentre')
        .forEach((name) => gauge.set({ data_centre: name }, Number(evacuated.has(name))));
    },
  });

  return {
    /** Names of the data centres that are not in service. */
    evacuated: (): ReadonlySet<string> => evacuated,
    phaseOf: (dataCentre: string): EvacuationPhase => {
      const sinceMs = startsMs.get(dataCentre);
      if (sinceMs === undefined) return 'inService';
      return nowMs() - sinceMs < drainTimeoutMs ? 'evacuating' : 'evacuated';
    },
    /** Calls the listener when a phase changes; returns the function to unsubscribe. */
    onChange: (listener: () => void): (() => void) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
};

export default createDataCentres;
