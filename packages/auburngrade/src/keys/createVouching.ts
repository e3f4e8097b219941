import {
  isMajorityOf,
  isVouched,
  outageProvenAtMs,
  reachReportSchema,
  witnessesOf,
  type ConfigurationState,
  type ReachReport,
} from '@auburngrade/coordination';
import { z } from 'zod';
import type Settings from '../settings/settings';
import createListView from '../membership/createListView';
import type MessageHandler from '../membership/messageHandler';

interface VouchingOptions {
  settings: Settings;
  configuration: ConfigurationState;
  /** Sends a message of a registered kind to another VM. */
  exchange(vm: string, kind: string, body: unknown, timeoutMs: number): Promise<unknown>;
  nowMs(): number;
}

/** What this VM knows about the platform from itself and its sources. */
interface Confirmation {
  confirmedAtMs(): number;
  reachedAtMs(): number;
  isRelay(): boolean;
}

const REACH_KIND = 'platformReach';
const WITHDRAWAL_KIND = 'withdrawalNotice';
const POLL_INTERVAL_MS = 500;
const POLL_TIMEOUT_MS = 500;
/** A relay asks the witnesses once the platform has been silent for longer. */
const ASK_AFTER_MS = 1_200;
const NOTICE_TIMEOUT_MS = 1_000;

const noticeSchema = z.strictObject({ revision: z.number().int().positive() });

/** Knows whether this VM's configuration is recent enough to accept keys by it. */
const createVouching = ({ settings, configuration, exchange, nowMs }: VouchingOptions) => {
  const startedAtMs = nowMs();
  let outageAtMs = Number.NEGATIVE_INFINITY;
  let noticedAtMs = Number.NEGATIVE_INFINITY;
  let noticedRevision = 0;
  let confirmation: Confirmation | undefined;
  let timer: NodeJS.Timeout | undefined;

  const confirmedAtMs = (): number => confirmation?.confirmedAtMs() ?? Number.NEGATIVE_INFINITY;

  const heardOfPlatformAtMs = (): number =>
    Math.max(confirmedAtMs(), confirmation?.reachedAtMs() ?? Number.NEGATIVE_INFINITY, noticedAtMs);

  const knownRevision = (): number => Math.max(configuration.revision(), noticedRevision);

  const notice = (revision: number): void => {
    noticedRevision = Math.max(noticedRevision, revision);
    noticedAtMs = nowMs();
  };

  const report = (): ReachReport => {
    const reachedAgeMs = nowMs() - heardOfPlatformAtMs();
    return {
      reachedAgeMs: Number.isFinite(reachedAgeMs) ? reachedAgeMs : null,
      revision: knownRevision(),
      uptimeMs: nowMs() - startedAtMs,
    };
  };

  const witnesses = createListView(configuration, (): Map<string, string[]> => {
    const vms = new Map<string, string[]>();
    configuration.list('vm').forEach(({ dataCentre, state }, id) => {
      if (state === 'live') vms.set(dataCentre, [...(vms.get(dataCentre) ?? []), id]);
    });
    return new Map([...vms].map(([name, ids]) => [name, witnessesOf(ids, name)]));
  });

  const ask = async (witness: string) => {
    const askedAtMs = nowMs();
    if (witness === settings.vm) return { witness, askedAtMs, report: report() };
    const reply = await exchange(witness, REACH_KIND, {}, POLL_TIMEOUT_MS);
    return { witness, askedAtMs, report: reachReportSchema.parse(reply) };
  };

  const poll = async (): Promise<void> => {
    if (!confirmation?.isRelay() || nowMs() - heardOfPlatformAtMs() < ASK_AFTER_MS) return;
    const asked = witnesses();
    const settled = await Promise.allSettled([...asked.values()].flat().map(ask));
    const answers = settled.flatMap((item) => (item.status === 'fulfilled' ? [item.value] : []));
    const provenAtMs = outageProvenAtMs(asked, answers, configuration.revision());
    outageAtMs = Math.max(outageAtMs, provenAtMs ?? Number.NEGATIVE_INFINITY);
  };

  const pollLater = (): void => {
    timer = setTimeout(() => {
      poll().finally(pollLater);
    }, POLL_INTERVAL_MS);
  };

  const messageHandlers: [string, MessageHandler][] = [
    [REACH_KIND, async () => report()],
    [
      WITHDRAWAL_KIND,
      async (_fromVm, body) => {
        notice(noticeSchema.parse(body).revision);
        return {};
      },
    ],
  ];

  /** Tells the witnesses of this data centre; whether a majority of them knows now. */
  const tellWitnesses = async (revision: number): Promise<boolean> => {
    const own = witnesses().get(settings.dataCentre) ?? [settings.vm];
    const told = new Set([settings.vm]);
    await Promise.allSettled(
      own
        .filter((id) => id !== settings.vm)
        .map(async (id) => {
          await exchange(id, WITHDRAWAL_KIND, { revision }, NOTICE_TIMEOUT_MS);
          told.add(id);
        }),
    );
    return isMajorityOf(told, own);
  };

  /** Time at which the configuration was complete, as far as this VM can prove. */
  const completeAtMs = (): number => Math.max(confirmedAtMs(), outageAtMs);

  return {
    messageHandlers,
    completeAtMs,
    /** Makes a write known to this data centre's witnesses; whether a majority of them has it. */
    announce: (revision: number): Promise<boolean> => {
      notice(revision);
      return tellWitnesses(revision);
    },
    start: (from: Confirmation): void => {
      confirmation = from;
      pollLater();
    },
    stop: (): void => clearTimeout(timer),
    isVouched: (): boolean =>
      settings.keys.whenUnvouched === 'serve' ||
      isVouched(
        { nowMs: nowMs(), confirmedAtMs: confirmedAtMs(), outageAtMs },
        settings.keys.maxUnconfirmedMs,
      ),
    /** Takes over what the source of this VM's configuration proved. */
    hearOutage: (provenAtMs: number): void => {
      outageAtMs = Math.max(outageAtMs, provenAtMs);
    },
    outageAgeMs: (): number => {
      const ageMs = Math.ceil(nowMs() - outageAtMs);
      return Number.isFinite(ageMs) ? ageMs : -1;
    },
    /** Makes a withdrawal known before it is confirmed; resolves with what the operator is told. */
    announceWithdrawal: async (revision: number): Promise<string> => {
      notice(revision);
      const boundS = settings.keys.maxUnconfirmedMs / 1_000;
      if (await tellWitnesses(revision)) return `in force everywhere within ${boundS} s`;
      return `in force within ${boundS} s on every VM that hears of the platform; VMs cut off during an outage could not be told`;
    },
  };
};

export default createVouching;
