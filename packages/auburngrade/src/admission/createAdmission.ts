import type { ConfigurationState } from '@auburngrade/coordination';
import type { Platform } from '@auburngrade/platform';
import type Logger from '../log/logger';
import type PeerRegistry from '../routing/peerRegistry';
import type Settings from '../settings/settings';
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
  vmCount(): number;
  confirmedAtMs(): number;
  nowMs(): number;
  logger: Logger;
}

/** Creates the admission that the settings choose, and the service of shares behind it. */
const createAdmission = (options: AdmissionOptions) => {
  const { settings, configuration, vmCount, nowMs } = options;
  const { mode, shareLeaseMs, maxWaitMs } = settings.admission;
  const shares = createShareService({
    ...options,
    vm: settings.vm,
    platformTimeoutMs: settings.platform.timeoutMs,
    leaseMs: shareLeaseMs,
    maxWaitMs,
    limitOf: (name) => limitOfShare(configuration, name),
  });
  const admission: Admission =
    mode === 'shares'
      ? createShareAdmission(configuration, shares)
      : createEqualPartsAdmission(configuration, vmCount, nowMs);
  return { admission, shares };
};

export default createAdmission;
