import type { ConfigurationState } from '@auburngrade/coordination';
import type { ConfigurationStore } from '@auburngrade/platform';
import type Logger from '../log/logger';
import type PeerRegistry from '../routing/peerRegistry';
import type Settings from '../settings/settings';
import createLeaseService from '../witness/createLeaseService';
import type SendMessage from '../membership/sendMessage';
import type Admission from './admission';
import createEqualPartsAdmission from './createEqualPartsAdmission';
import createQuotaAdmission from './createQuotaAdmission';
import createQuotaService from './createQuotaService';
import findQuotaLimit from './findQuotaLimit';

interface AdmissionOptions {
  settings: Settings;
  incarnation: number;
  configuration: ConfigurationState;
  platform: ConfigurationStore;
  peers: PeerRegistry;
  send: SendMessage;
  countVms(): number;
  confirmedAtMs(): number;
  nowMs(): number;
  logger: Logger;
}

/** Creates the rate limiter of the configured mode, and its quota and lease services. */
const createAdmission = (options: AdmissionOptions) => {
  const { settings, configuration, countVms, nowMs } = options;
  const { mode, shareLeaseMs, vmLeaseMs, maxWaitMs, maxSilentWaitMs } = settings.admission;
  const common = {
    ...options,
    vm: settings.vm,
    dataCentre: settings.dataCentre,
    platformTimeoutMs: settings.platform.timeoutMs,
  };
  const leases = createLeaseService({ ...common, leaseMs: vmLeaseMs });
  const quotas = createQuotaService({
    ...common,
    leases,
    leaseMs: shareLeaseMs,
    maxWaitMs,
    maxSilentWaitMs,
    findLimit: (name) => findQuotaLimit(configuration, name),
  });
  const admission: Admission =
    mode === 'shares'
      ? createQuotaAdmission(configuration, quotas)
      : createEqualPartsAdmission(configuration, countVms, nowMs);
  return {
    admission,
    shares: quotas,
    leases,
    messageHandlers: new Map([...quotas.messageHandlers, ...leases.messageHandlers]),
    /** Whether this VM's lease has been valid since start-up; mode `equalParts` needs none. */
    isReady: (): boolean => mode !== 'shares' || leases.hasBeenValid(),
    start: (): void => {
      if (mode === 'shares') leases.start(quotas);
    },
    stop: (): void => {
      quotas.stop();
      leases.stop();
    },
  };
};

export default createAdmission;
