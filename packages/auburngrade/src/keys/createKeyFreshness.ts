import {
  containsMajorityOf,
  isKeyConfigurationFresh,
  computeOutageProvenAtMs,
  platformReachReportSchema,
  chooseWriteWitnesses,
  type ConfigurationState,
  type PlatformReachReport,
} from '@auburngrade/coordination';
import { z } from 'zod';
import type Settings from '../settings/settings';
import createVmListCache from '../membership/createVmListCache';
import type MessageHandler from '../membership/messageHandler';

interface KeyFreshnessOptions {
  settings: Settings;
  configuration: ConfigurationState;
  /** Sends a message of a registered kind to another VM. */
  send(vm: string, kind: string, body: unknown, timeoutMs: number): Promise<unknown>;
  nowMs(): number;
}

/** What this VM knows of the platform, directly or from its configuration sources. */
interface PlatformStatus {
  /** Time of the platform's last confirmation of the configuration. */
  confirmedAtMs(): number;
  /** Time at which this VM or a source last reached the platform. */
  reachedAtMs(): number;
  isRelay(): boolean;
}

const REACH_REPORT_KIND = 'platformReach';
const WITHDRAWAL_NOTICE_KIND = 'withdrawalNotice';
const POLL_INTERVAL_MS = 500;
const POLL_TIMEOUT_MS = 500;
/** A relay asks the witnesses when the platform has been unreachable for longer. */
const MIN_PLATFORM_SILENCE_MS = 1_200;
const NOTICE_TIMEOUT_MS = 1_000;

const noticeSchema = z.strictObject({ revision: z.number().int().positive() });

/**
 * Creates the service that tells whether this VM's configuration is recent enough to accept keys:
 * the platform confirmed it, or the witnesses prove an outage in which no key can be withdrawn.
 */
const createKeyFreshness = ({ settings, configuration, send, nowMs }: KeyFreshnessOptions) => {
  const startedAtMs = nowMs();
  let outageAtMs = Number.NEGATIVE_INFINITY;
  let noticedAtMs = Number.NEGATIVE_INFINITY;
  let noticedRevision = 0;
  let platformStatus: PlatformStatus | undefined;
  let pollTimer: NodeJS.Timeout | undefined;

  const confirmedAtMs = (): number => platformStatus?.confirmedAtMs() ?? Number.NEGATIVE_INFINITY;

  const lastPlatformContactAtMs = (): number =>
    Math.max(
      confirmedAtMs(),
      platformStatus?.reachedAtMs() ?? Number.NEGATIVE_INFINITY,
      noticedAtMs,
    );

  const knownRevision = (): number => Math.max(configuration.revision(), noticedRevision);

  const recordNotice = (revision: number): void => {
    noticedRevision = Math.max(noticedRevision, revision);
    noticedAtMs = nowMs();
  };

  const buildReport = (): PlatformReachReport => {
    const reachedAgeMs = nowMs() - lastPlatformContactAtMs();
    return {
      reachedAgeMs: Number.isFinite(reachedAgeMs) ? reachedAgeMs : null,
      revision: knownRevision(),
      uptimeMs: nowMs() - startedAtMs,
    };
  };

  const findWitnesses = createVmListCache(configuration, (): Map<string, string[]> => {
    const vms = new Map<string, string[]>();
    configuration.list('vm').forEach(({ dataCentre, state }, id) => {
      if (state === 'live') vms.set(dataCentre, [...(vms.get(dataCentre) ?? []), id]);
    });
    return new Map([...vms].map(([name, ids]) => [name, chooseWriteWitnesses(ids, name)]));
  });

  const requestReport = async (witness: string) => {
    const askedAtMs = nowMs();
    if (witness === settings.vm) return { witness, askedAtMs, report: buildReport() };
    const reply = await send(witness, REACH_REPORT_KIND, {}, POLL_TIMEOUT_MS);
    return { witness, askedAtMs, report: platformReachReportSchema.parse(reply) };
  };

  const pollWitnesses = async (): Promise<void> => {
    if (!platformStatus?.isRelay() || nowMs() - lastPlatformContactAtMs() < MIN_PLATFORM_SILENCE_MS)
      return;
    const witnessesByDataCentre = findWitnesses();
    const settled = await Promise.allSettled(
      [...witnessesByDataCentre.values()].flat().map(requestReport),
    );
    const reports = settled.flatMap((item) => (item.status === 'fulfilled' ? [item.value] : []));
    const provenAtMs = computeOutageProvenAtMs(
      witnessesByDataCentre,
      reports,
      configuration.revision(),
    );
    outageAtMs = Math.max(outageAtMs, provenAtMs ?? Number.NEGATIVE_INFINITY);
  };

  const schedulePoll = (): void => {
    pollTimer = setTimeout(() => {
      pollWitnesses().finally(schedulePoll);
    }, POLL_INTERVAL_MS);
  };

  const messageHandlers: [string, MessageHandler][] = [
    [REACH_REPORT_KIND, async () => buildReport()],
    [
      WITHDRAWAL_NOTICE_KIND,
      async (_fromVm, body) => {
        recordNotice(noticeSchema.parse(body).revision);
        return {};
      },
    ],
  ];

  /** Sends a notice to this data centre's witnesses; resolves with whether a majority has it. */
  const notifyWitnesses = async (revision: number): Promise<boolean> => {
    const localWitnesses = findWitnesses().get(settings.dataCentre) ?? [settings.vm];
    const notifiedVms = new Set([settings.vm]);
    await Promise.allSettled(
      localWitnesses
        .filter((id) => id !== settings.vm)
        .map(async (id) => {
          await send(id, WITHDRAWAL_NOTICE_KIND, { revision }, NOTICE_TIMEOUT_MS);
          notifiedVms.add(id);
        }),
    );
    return containsMajorityOf(notifiedVms, localWitnesses);
  };

  /** Latest time at which this VM can prove that its configuration was complete. */
  const completeAtMs = (): number => Math.max(confirmedAtMs(), outageAtMs);

  return {
    messageHandlers,
    completeAtMs,
    /** Tells this data centre's witnesses of a write; resolves with whether a majority has it. */
    announceWrite: (revision: number): Promise<boolean> => {
      recordNotice(revision);
      return notifyWitnesses(revision);
    },
    start: (status: PlatformStatus): void => {
      platformStatus = status;
      schedulePoll();
    },
    stop: (): void => clearTimeout(pollTimer),
    areKeysFresh: (): boolean =>
      settings.keys.whenUnvouched === 'serve' ||
      isKeyConfigurationFresh(
        { nowMs: nowMs(), confirmedAtMs: confirmedAtMs(), outageAtMs },
        settings.keys.maxUnconfirmedMs,
      ),
    /** Applies the outage time proven by this VM's configuration source. */
    applyOutage: (provenAtMs: number): void => {
      outageAtMs = Math.max(outageAtMs, provenAtMs);
    },
    /** Age of the last proven outage time; -1 without one. */
    outageAgeMs: (): number => {
      const ageMs = Math.ceil(nowMs() - outageAtMs);
      return Number.isFinite(ageMs) ? ageMs : -1;
    },
    /** Announces a withdrawal before it is confirmed; resolves with the message for the operator. */
    announceWithdrawal: async (revision: number): Promise<string> => {
      recordNotice(revision);
      const boundS = settings.keys.maxUnconfirmedMs / 1_000;
      if (await notifyWitnesses(revision)) return `in force everywhere within ${boundS} s`;
      return `in force within ${boundS} s on every VM that hears of the platform; VMs cut off during an outage could not be told`;
    },
  };
};

export default createKeyFreshness;
