import mergeEndpointEntries from '../fleet/mergeEndpointEntries';
import type EventLog from '../seams/eventLog';
import type GroupEndpoint from '../seams/groupEndpoint';
import type MetadataStore from '../seams/metadataStore';
import type StoredValueDecoder from '../seams/storedValueDecoder';

/** Polled: endpoint entries change with each heartbeat, and a leaving endpoint must be left in seconds. */
const POLL_INTERVAL_MS = 1_500;
/** A VM that serves no group only needs a recent list for when it claims one. */
const IDLE_POLL_INTERVAL_MS = 10_000;
/** After the store came back from a copy, endpoints write their entries anew within about two seconds. */
const OUTDATED_ENTRY_PERIOD_MS = 4_000;

interface EndpointRegistryOptions {
  store: MetadataStore;
  decoder: StoredValueDecoder;
  log: EventLog;
  nowMs(): number;
  /** Called after each list. */
  onList(): void;
}

/** Keeps the endpoints that the platform's store lists, for all groups. */
const createEndpointRegistry = (options: EndpointRegistryOptions) => {
  const { store, decoder, log, nowMs } = options;
  let endpoints: GroupEndpoint[] = [];
  let hasList = false;
  let isReading = false;
  let readAtMs = Number.NEGATIVE_INFINITY;
  let eraChangedAtMs = Number.NEGATIVE_INFINITY;
  store.onEraChange(() => {
    eraChangedAtMs = nowMs();
  });

  const read = async (): Promise<void> => {
    const { items } = await store.list(decoder.endpointPrefix);
    const listed = items.flatMap(({ key, value }) => decoder.endpoint(key, value) ?? []);
    const isEraYoung = nowMs() - eraChangedAtMs < OUTDATED_ENTRY_PERIOD_MS;
    endpoints = isEraYoung ? mergeEndpointEntries(endpoints, listed) : listed;
    hasList = true;
    options.onList();
  };

  return {
    /** The endpoints of a group; undefined before the first list. */
    endpointsOf: (group: string): GroupEndpoint[] | undefined =>
      hasList ? endpoints.filter((endpoint) => endpoint.group === group) : undefined,
    /** The data centre of the endpoint that registered itself as the group's primary. */
    primaryDataCentre: (group: string): string | undefined =>
      endpoints.find((endpoint) => endpoint.group === group && endpoint.isRegisteredAsPrimary)
        ?.dataCentre,
    /** Call periodically: reads the list if it is due, more often on a VM that serves groups. */
    poll: (servesGroups: boolean): void => {
      const intervalMs = servesGroups || !hasList ? POLL_INTERVAL_MS : IDLE_POLL_INTERVAL_MS;
      if (isReading || nowMs() - readAtMs < intervalMs) return;
      isReading = true;
      readAtMs = nowMs();
      read()
        .catch((error) => log.info('endpoints.unread', { reason: String(error) }))
        .finally(() => {
          isReading = false;
        });
    },
  };
};

export default createEndpointRegistry;
