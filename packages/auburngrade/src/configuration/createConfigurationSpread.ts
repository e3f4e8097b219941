import {
  createPeerHealth,
  createSourceReturn,
  isRelay,
  relayRank,
  sourcesElsewhere,
  sourcesInRank,
  type ConfigurationState,
} from '@auburngrade/coordination';
import type { Platform } from '@auburngrade/platform';
import { createFollowClient } from '@auburngrade/vm';
import type { ChannelCredentials } from '@grpc/grpc-js';
import type Logger from '../log/logger';
import createListView from '../membership/createListView';
import type AddressBook from '../settings/addressBook';
import type Settings from '../settings/settings';
import createConfigurationFeed from './createConfigurationFeed';
import createPlatformFollower from './createPlatformFollower';
import createRelayFollower from './createRelayFollower';

interface ConfigurationSpreadOptions {
  settings: Settings;
  platform: Platform;
  configuration: ConfigurationState;
  addresses: AddressBook;
  vmCredentials?: ChannelCredentials;
  /** Age in milliseconds of the knowledge that no VM reaches the platform; -1: not known. */
  outageAgeMs(): number;
  onOutage(outageAtMs: number): void;
  nowMs(): number;
  logger: Logger;
}

/** A relay takes configuration from another VM too when the platform's last word is older. */
const RELAY_UNCONFIRMED_MS = 1_500;
/** A fresh VM asks its peers for this long before it turns to the platform, and up to twice as long by chance. */
const FIRST_ASK_PEERS_MS = 1_000;

/** A follower goes back to the source that it prefers after this long, and up to twice as long by chance. */
const RETURN_TO_SOURCE_MS = 3_000;

/**
 * Keeps this VM's configuration up to date and hands it on: two VMs of a data centre
 * watch the platform, the others follow them in a tree.
 */
const createConfigurationSpread = (options: ConfigurationSpreadOptions) => {
  const { settings, configuration, addresses, nowMs } = options;
  const health = createPeerHealth();
  const sourceReturn = createSourceReturn(RETURN_TO_SOURCE_MS * (1 + Math.random()));
  const startedAtMs = nowMs();
  const askPeersMs = FIRST_ASK_PEERS_MS * (1 + Math.random());
  const isSeed = settings.peers.includes(`${settings.host}:${settings.vmPort}`);
  let heardAtMs = Number.NEGATIVE_INFINITY;

  const ranks = createListView(configuration, (): Map<string, string[]> => {
    const ids = new Map<string, string[]>();
    [...configuration.list('vm')]
      .filter(([, { state }]) => state === 'live')
      .forEach(([id, { dataCentre }]) => ids.set(dataCentre, [...(ids.get(dataCentre) ?? []), id]));
    return new Map([...ids].map(([dataCentre, vms]) => [dataCentre, relayRank(vms, dataCentre)]));
  });

  const ownRank = (): string[] => ranks().get(settings.dataCentre) ?? [];

  const isPlatformNeeded = (): boolean => {
    if (configuration.revision() === 0) {
      const isAlone = settings.peers.length === 0 || isSeed;
      return isAlone || nowMs() - startedAtMs > askPeersMs;
    }
    return isRelay(settings.vm, ownRank(), health.unreachable());
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
    !isPlatformNeeded() || nowMs() - platformFollower.confirmedAtMs() > RELAY_UNCONFIRMED_MS;

  const addressOf = (id: string): string | undefined => {
    const listed = configuration.get('vm', id);
    if (!listed) return settings.peers.includes(id) ? id : undefined;
    return `${listed.host}:${listed.vmPort}`;
  };

  const near = createListView(configuration, () => sourcesInRank(settings.vm, ownRank()));
  const far = createListView(configuration, () =>
    sourcesElsewhere(settings.vm, settings.dataCentre, ranks()),
  );

  const sources = (): string[] => {
    // A relay that lost the platform shares this with the other one when the data centre is cut off.
    const listed = isPlatformNeeded() ? [...far(), ...near()] : [...near(), ...far()];
    const self = `${settings.host}:${settings.vmPort}`;
    return listed.length > 0 ? listed : settings.peers.filter((peer) => peer !== self);
  };

  const resolve = (address: string): string => {
    const separator = address.lastIndexOf(':');
    const port = Number(address.slice(separator + 1));
    const reached = addresses.resolve(address.slice(0, separator), port);
    return `${reached.host}:${reached.port}`;
  };

  /** Followers that stayed with a relay would take it more than its share of the tree. */
  const isReturnDue = (current: string): boolean => {
    const [best] = sources();
    const usable = best === undefined || health.hasFailed(best) ? undefined : best;
    return sourceReturn.isDue(current, usable, nowMs());
  };

  const relayFollower = createRelayFollower({
    vm: settings.vm,
    state: configuration,
    chooseSource: () => {
      if (!isPeerNeeded()) return undefined;
      const id = health.choose(sources(), nowMs());
      const address = id === undefined ? undefined : addressOf(id);
      return id === undefined || address === undefined
        ? undefined
        : { id, address: resolve(address) };
    },
    isStillWanted: (id) => isPeerNeeded() && sources().includes(id) && !isReturnDue(id),
    open: (address, listener) => createFollowClient(address, listener, options.vmCredentials),
    onSuccess: health.succeed,
    onFailure: (id, reason) => {
      health.fail(id, reason, nowMs());
      options.logger.info('configuration.sourceLost', { source: id, reason });
    },
    onConfirmed: (confirmedAtMs, outageAtMs) => {
      heardAtMs = Math.max(heardAtMs, confirmedAtMs);
      options.onOutage(outageAtMs);
    },
    nowMs,
  });

  const confirmedAtMs = (): number => Math.max(heardAtMs, platformFollower.confirmedAtMs());

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
      relayFollower.start();
    },
    /** Monotonic time at which the platform confirmed the known revision, to this VM or its source. */
    confirmedAtMs,
    /** Monotonic time of the platform's last answer to this VM. */
    reachedAtMs: platformFollower.reachedAtMs,
    isRelay: isPlatformNeeded,
    followerCount: feed.followerCount,
    openFollowSession: feed.open,
    describe: () => ({
      isRelay: isPlatformNeeded(),
      source: relayFollower.source() ?? null,
      followers: feed.followerCount(),
    }),
    stop: (): void => {
      platformFollower.stop();
      relayFollower.stop();
    },
  };
};

export default createConfigurationSpread;
