import type createSignalClock from './createSignalClock';

interface SignalSource {
  on(name: NodeJS.Signals, listener: () => void): unknown;
}

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/**
 * Resolves at the first signal to stop, with the time at which it may have been sent by the given
 * clock. The listeners stay: without one, a further signal would end the process by its default
 * action, with work under way. `SIGHUP` means that the settings file has changed.
 */
const listenForSignals = (
  signals: SignalSource,
  { earliestArrivalMs }: Pick<ReturnType<typeof createSignalClock>, 'earliestArrivalMs'>,
  onSettingsChanged: () => void,
): Promise<number> =>
  new Promise((resolve) => {
    STOP_SIGNALS.forEach((name) => signals.on(name, () => resolve(earliestArrivalMs())));
    signals.on('SIGHUP', onSettingsChanged);
  });

export default listenForSignals;
