import {
  createPeerHealth,
  createSourceFailback,
  isRelay,
  rankRelays,
  rankRemoteSources,
  rankLocalSources,
  type ConfigurationState,
} from '@auburngrade/coordination';
import type { ConfigurationStore } from '@auburngrade/platform';
import { createFollowClient } from '@auburngrade/vm';
import type { ChannelCredentials } from '@grpc/grpc-js';
import type Logger from '../log/logger';
import createVmListCache from '../membership/createVmListCache';
import type AddressBook from '../settings/addressBook';
import type Settings from '../settings/settings';
import createConfigurationFeed from './createConfigurationFeed';
import createPlatformFollower from './createPlatformFollower';
import createPeerFollower from './createPeerFollower';

interface ConfigurationDistributionOptions {
  settings: Settings;
  platform: ConfigurationStore;
  configuration: ConfigurationState;
  addresses: AddressBook;
  vmCredentials?: ChannelCredentials;
  /** Age in milliseconds of the latest proof that no VM reaches the platform; -1 without one. */
  outageAgeMs(): number;
  onOutage(outageAtMs: number): void;
  nowMs(): number;
  logger: Logger;
}

/** A relay also follows another VM once the platform's last confirmation is older than this. */
const RELAY_MAX_CONFIRMATION_AGE_MS = 1_500;
/** A VM without configuration asks its peers for this long, randomised up to twice, before it reads the platform. */
const INITIAL_PEER_WAIT_MS = 1_000;

/** Delay, randomised up to twice, after which a follower returns to its preferred source. */
const SOURCE_RETURN_DELAY_MS = 3_000;

/**
 * Keeps this VM's configuration up to date and serves it to followers: two VMs of each data
 * centre, the relays, watch the platform; the other VMs follow them in a tree.
 */
const createConfigurationDistribution = (options: ConfigurationDistributionOptions) => {
  const { settings, configuration, addresses, nowMs } = options;
  const peerHealth = createPeerHealth();
  const sourceReturn = createSourceFailback(SOURCE_RETURN_DELAY_MS * (1 + Math.random()));
  const startedAtMs = nowMs();
  const peerWaitMs = INITIAL_PEER_WAIT_MS * (1 + Math.random());
  const isSeedVm = settings.peers.includes(`${settings.host}:${settings.vmPort}`);
  let peerConfirmedAtMs = Number.NEGATIVE_INFINITY;

  const listRankings = createVmListCache(configuration, (): Map<string, string[]> => {
    const ids = new Map<string, string[]>();
    [...configuration.list('vm')]
      .filter(([, { state }]) => state === 'live')
      .forEach(([id, { dataCentre }]) => ids.set(dataCentre, [...(ids.get(dataCentre) ?? []), id]));
    return new Map([...ids].map(([dataCentre, vms]) => [dataCentre, rankRelays(vms, dataCentre)]));
  });

  const listOwnRanking = (): string[] => listRankings().get(settings.dataCentre) ?? [];

  const isPlatformNeeded = (): boolean => {
    if (configuration.revision() === 0) {
      const hasNoOtherPeer = settings.peers.length === 0 || isSeedVm;
      return hasNoOtherPeer || nowMs() - startedAtMs > peerWaitMs;
    }
    return isRelay(settings.vm, listOwnRanking(), peerHealth.unreachable());
  };

  const platformFollower = createPlatformFollower({
    platform: options.platform,
    state: configuration,
    timeoutMs: settings.platform.timeoutMs,
    isNeeded: isPlatformNeeded,
    nowMs,
    logger: options.logger,
  });

  const isPeerNeeded = (): boolean =>
    !isPlatformNeeded() ||
    configuration.catchUpRevision() !== undefined ||
    nowMs() - platformFollower.confirmedAtMs() > RELAY_MAX_CONFIRMATION_AGE_MS;

  const findAddress = (id: string): string | undefined => {
    const listed = configuration.get('vm', id);
    if (!listed) return settings.peers.includes(id) ? id : undefined;
    return `${listed.host}:${listed.vmPort}`;
  };

  const listLocalSources = createVmListCache(configuration, () =>
    rankLocalSources(settings.vm, listOwnRanking()),
  );
  const listRemoteSources = createVmListCache(configuration, () =>
    rankRemoteSources(settings.vm, settings.dataCentre, listRankings()),
  );

  const listSources = (): string[] => {
    // If the data centre is cut off from the platform, the other local relay has lost it too.
    const listed = isPlatformNeeded()
      ? [...listRemoteSources(), ...listLocalSources()]
      : [...listLocalSources(), ...listRemoteSources()];
    const self = `${settings.host}:${settings.vmPort}`;
    return listed.length > 0 ? listed : settings.peers.filter((peer) => peer !== self);
  };

  const resolveAddress = (address: string): string => {
    const separator = address.lastIndexOf(':');
    const port = Number(address.slice(separator + 1));
    const resolved = addresses.resolve(address.slice(0, separator), port);
    return `${resolved.host}:${resolved.port}`;
  };

  /** Otherwise followers that failed over to a relay would stay and exceed its share of the tree. */
  const isReturnDue = (current: string): boolean => {
    const [best] = listSources();
    const usableBest = best === undefined || peerHealth.hasFailed(best) ? undefined : best;
    return sourceReturn.isDue(current, usableBest, nowMs());
  };

  const peerFollower = createPeerFollower({
    vm: settings.vm,
    state: configuration,
    chooseSource: () => {
      if (!isPeerNeeded()) return undefined;
      const id = peerHealth.choosePeer(listSources(), nowMs());
      const address = id === undefined ? undefined : findAddress(id);
      return id === undefined || address === undefined
        ? undefined
        : { id, address: resolveAddress(address) };
    },
    shouldKeepSource: (id) => isPeerNeeded() && listSources().includes(id) && !isReturnDue(id),
    open: (address, listener) => createFollowClient(address, listener, options.vmCredentials),
    onSuccess: peerHealth.recordSuccess,
    onFailure: (id, reason) => {
      peerHealth.recordFailure(id, reason, nowMs());
      options.logger.info('configuration.sourceLost', { source: id, reason });
    },
    onConfirmed: (confirmedAtMs, outageAtMs) => {
      peerConfirmedAtMs = Math.max(peerConfirmedAtMs, confirmedAtMs);
      options.onOutage(outageAtMs);
    },
    nowMs,
  });

  const confirmedAtMs = (): number => Math.max(peerConfirmedAtMs, platformFollower.confirmedAtMs());

  const feed = createConfigurationFeed(configuration, () => {
    const ageMs = Math.ceil(nowMs() - confirmedAtMs());
    return {
      confirmedAgeMs: Number.isFinite(ageMs) ? ageMs : -1,
      outageAgeMs: options.outageAgeMs(),
    };
  });

  return {
    start: (): void => {
      platformFollower.start();
      peerFollower.start();
    },
    /** Monotonic time at which the platform last confirmed the known revision to this VM or its source. */
    confirmedAtMs,
    /** Monotonic time of the platform's last reply to this VM. */
    reachedAtMs: platformFollower.reachedAtMs,
    isRelay: isPlatformNeeded,
    followerCount: feed.followerCount,
    openFollowSession: feed.open,
    describe: () => ({
      isRelay: isPlatformNeeded(),
      source: peerFollower.source() ?? null,
      followers: feed.followerCount(),
    }),
    stop: (): void => {
      platformFollower.stop();
      peerFollower.stop();
    },
  };
};

export default createConfigurationDistribution;
