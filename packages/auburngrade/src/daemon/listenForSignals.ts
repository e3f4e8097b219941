interface SignalSource {
  on(name: NodeJS.Signals, listener: () => void): unknown;
}

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/**
 * Resolves at the first signal to stop. The listeners stay: without one, a further signal would
 * end the process by its default action, with work under way. `SIGHUP` means that the settings
 * file has changed.
 */
const listenForSignals = (signals: SignalSource, onSettingsChanged: () => void): Promise<void> =>
  new Promise((resolve) => {
    STOP_SIGNALS.forEach((name) => signals.on(name, () => resolve()));
    signals.on('SIGHUP', onSettingsChanged);
  });

export default listenForSignals;
