import type { ConfigurationState } from '@auburngrade/coordination';
import type { Platform } from '@auburngrade/platform';
import type Logger from '../log/logger';
import type PeerRegistry from '../routing/peerRegistry';
import type Settings from '../settings/settings';
import createLeaseService from '../witness/createLeaseService';
import type SendMessage from '../membership/sendMessage';
import type Admission from './admission';
import createEqualPartsAdmission from './createEqualPartsAdmission';
import createShareAdmission from './createShareAdmission';
import createShareService from './createShareService';
import limitOfShare from './limitOfShare';

interface AdmissionOptions {
  settings: Settings;
  incarnation: number;
  configuration: ConfigurationState;
  platform: Platform;
  peers: PeerRegistry;
  send: SendMessage;
  vmCount(): number;
  confirmedAtMs(): number;
  nowMs(): number;
  logger: Logger;
}

/** Creates the admission that the settings choose, and the services of shares and leases behind it. */
const createAdmission = (options: AdmissionOptions) => {
  const { settings, configuration, vmCount, nowMs } = options;
  const { mode, shareLeaseMs, vmLeaseMs, maxWaitMs, maxSilentWaitMs } = settings.admission;
  const common = {
    ...options,
    vm: settings.vm,
    dataCentre: settings.dataCentre,
    platformTimeoutMs: settings.platform.timeoutMs,
  };
  const leases = createLeaseService({ ...common, leaseMs: vmLeaseMs });
  const shares = createShareService({
    ...common,
    leases,
    leaseMs: shareLeaseMs,
    maxWaitMs,
    maxSilentWaitMs,
    limitOf: (name) => limitOfShare(configuration, name),
  });
  const admission: Admission =
    mode === 'shares'
      ? createShareAdmission(configuration, shares)
      : createEqualPartsAdmission(configuration, vmCount, nowMs);
  return {
    admission,
    shares,
    leases,
    messageHandlers: new Map([...shares.handlers, ...leases.messageHandlers]),
    /** Whether this VM may give out rates since its start; equal parts need no lease. */
    isReady: (): boolean => mode !== 'shares' || leases.hasStood(),
    start: (): void => {
      if (mode === 'shares') leases.start(shares);
    },
    stop: (): void => {
      shares.stop();
      leases.stop();
    },
  };
};

export default createAdmission;
