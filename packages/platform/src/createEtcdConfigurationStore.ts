import {
  credentials,
  Metadata,
  status,
  type ChannelCredentials,
  type ServiceError,
} from '@grpc/grpc-js';
import {
  createNotRunError,
  eraOfPosition,
  revisionOfPosition,
  toHistoryPosition,
  type ConfigurationEntry,
} from '@auburngrade/coordination';
import type ConditionalWrite from './conditionalWrite';
import {
  Compare,
  Compare_CompareResult,
  Compare_CompareTarget,
  KVClient,
  RangeRequest,
  type RangeResponse,
  RequestOp,
  WatchClient,
  WatchRequest,
  type TxnResponse,
} from './generated/etcdserverpb/rpc';
import { Event_EventType, type Event } from './generated/mvccpb/kv';
import ConfigurationStore from './configurationStore';
import prefixEnd from './prefixEnd';
import type RangeOutcome from './rangeOutcome';
import stampEra from './stampEra';
import toEntry from './toEntry';
import type WatchListener from './watchListener';
import type WriteOutcome from './writeOutcome';

/** Statuses with which the server rejects a write before it takes effect. */
const REJECTED_STATUSES = new Set([status.INVALID_ARGUMENT, status.UNIMPLEMENTED]);

const KEYS_PER_PAGE = 500;
/** Time for calls in progress on a replaced connection to complete before it is closed. */
const CLOSE_DELAY_MS = 10_000;

/** Without a shared subchannel pool, a new client does not reuse an unresponsive connection. */
const CHANNEL_OPTIONS = {
  'grpc.use_local_subchannel_pool': 1,
  'grpc.max_receive_message_length': 67_108_864,
  'grpc.max_reconnect_backoff_ms': 1_000,
};

const toCompare = (write: ConditionalWrite): Compare =>
  Compare.fromPartial({
    result: Compare_CompareResult.EQUAL,
    target: Compare_CompareTarget.MOD,
    key: Buffer.from(write.key),
    targetUnion: { $case: 'modRevision', modRevision: revisionOfPosition(write.expectedRevision) },
  });

const toWriteOperation = (write: ConditionalWrite, era: number): RequestOp => {
  const key = Buffer.from(write.key);
  if (write.valueJson === undefined) {
    return RequestOp.fromPartial({
      request: { $case: 'requestDeleteRange', requestDeleteRange: { key } },
    });
  }
  const value = Buffer.from(stampEra(write.valueJson, era));
  return RequestOp.fromPartial({ request: { $case: 'requestPut', requestPut: { key, value } } });
};

const toReadOperation = (write: ConditionalWrite): RequestOp =>
  RequestOp.fromPartial({
    request: { $case: 'requestRange', requestRange: { key: Buffer.from(write.key) } },
  });

const currentEntriesOf = (response: TxnResponse, era: number): ConfigurationEntry[] =>
  response.responses.flatMap(({ response: operation }) =>
    operation?.$case === 'responseRange'
      ? operation.responseRange.kvs.map((keyValue) => toEntry(keyValue, era))
      : [],
  );

const toWriteOutcome = (response: TxnResponse, era: number): WriteOutcome => {
  const revision = toHistoryPosition(era, response.header?.revision ?? 0);
  if (response.succeeded) return { kind: 'applied', revision };
  return { kind: 'conflict', revision, current: currentEntriesOf(response, era) };
};

/** Reads the store's era from an answer's metadata; undefined for a store without eras. */
const readEra = (metadata: Metadata): number | undefined => {
  const [value] = metadata.get('store-era');
  const era = Number(value ?? Number.NaN);
  return Number.isSafeInteger(era) && era >= 0 ? era : undefined;
};

const toFailedOutcome = (error: ServiceError): WriteOutcome => ({
  kind: REJECTED_STATUSES.has(error.code) ? 'unavailable' : 'unknown',
  message: error.details,
});

const toChange = ({ type, kv }: Event, era: number): ConfigurationEntry => {
  if (kv && type !== Event_EventType.DELETE) return toEntry(kv, era);
  return {
    key: kv?.key.toString('utf8') ?? '',
    valueJson: undefined,
    modRevision: toHistoryPosition(era, kv?.modRevision ?? 0),
  };
};

class EtcdConfigurationStore extends ConfigurationStore {
  private kv: KVClient;

  private watchClient: WatchClient;

  /** Highest era that an answer stated. */
  private era = 0;

  constructor(
    private readonly address: string,
    private readonly channelCredentials: ChannelCredentials,
  ) {
    super();
    this.kv = new KVClient(address, channelCredentials, CHANNEL_OPTIONS);
    this.watchClient = new WatchClient(address, channelCredentials, CHANNEL_OPTIONS);
  }

  override async range(prefix: string, timeoutMs: number): Promise<RangeOutcome> {
    const deadline = Date.now() + timeoutMs;
    const rangeEnd = prefixEnd(prefix);
    const entries: ConfigurationEntry[] = [];
    let key: Buffer = Buffer.from(prefix);
    let first: { era: number; revision: number } | undefined;
    for (;;) {
      const revision = first?.revision ?? 0;
      const request = RangeRequest.fromPartial({ key, rangeEnd, revision, limit: KEYS_PER_PAGE });
      const { page, era } = await this.readPage(request, deadline);
      first ??= { era, revision: page.header?.revision ?? 0 };
      if (era !== first.era) throw createNotRunError('platformUnavailable', `now in era ${era}`);
      entries.push(...page.kvs.map((keyValue) => toEntry(keyValue, era)));
      const lastEntry = page.kvs.at(-1);
      if (!page.more || !lastEntry)
        return { revision: toHistoryPosition(era, first.revision), entries };
      key = Buffer.concat([lastEntry.key, Buffer.from([0])]);
    }
  }

  /** Returns the era of an answer, which may be late and of an era that has ended. */
  private observeEra(metadata: Metadata): number {
    const era = readEra(metadata) ?? this.era;
    this.era = Math.max(this.era, era);
    return era;
  }

  private readPage(
    request: RangeRequest,
    deadline: number,
  ): Promise<{ page: RangeResponse; era: number }> {
    const { kv } = this;
    let { era } = this;
    return new Promise((resolve, reject) => {
      const call = kv.range(request, new Metadata(), { deadline }, (error, page) => {
        if (error) this.replaceAfterTimeout(kv, error);
        if (error) reject(createNotRunError('platformUnavailable', error.details));
        else resolve({ page, era });
      });
      call.on('metadata', (metadata) => {
        era = this.observeEra(metadata);
      });
    });
  }

  override async compareAndSwap(
    writes: ConditionalWrite[],
    timeoutMs: number,
  ): Promise<WriteOutcome> {
    const outcome = await this.trySwap(writes, timeoutMs);
    if (outcome.kind !== 'conflict') return outcome;
    const currentByKey = new Map(outcome.current.map((entry) => [entry.key, entry.modRevision]));
    const lost = writes.filter(({ key, expectedRevision }) => {
      const current = currentByKey.get(key) ?? 0;
      return current < expectedRevision && eraOfPosition(expectedRevision) < this.era;
    });
    if (lost.length === 0) return outcome;
    // The store came back from a copy without the states that these writes replace.
    const rebased = writes.map((write) =>
      lost.includes(write)
        ? { ...write, expectedRevision: currentByKey.get(write.key) ?? 0 }
        : write,
    );
    return this.trySwap(rebased, timeoutMs);
  }

  private trySwap(writes: ConditionalWrite[], timeoutMs: number): Promise<WriteOutcome> {
    const { kv, era } = this;
    let answerEra = era;
    const request = {
      compare: writes.map(toCompare),
      success: writes.map((write) => toWriteOperation(write, era)),
      failure: writes.map(toReadOperation),
    };
    const deadline = Date.now() + timeoutMs;
    return new Promise((resolve) => {
      const call = kv.txn(request, new Metadata(), { deadline }, (error, response) => {
        if (error) this.replaceAfterTimeout(kv, error);
        if (error) resolve(toFailedOutcome(error));
        else if (response.succeeded && answerEra !== era)
          // The revisions matched by chance those of an era that has ended.
          resolve({ kind: 'unknown', message: `written in era ${answerEra}, not in ${era}` });
        else resolve(toWriteOutcome(response, answerEra));
      });
      call.on('metadata', (metadata) => {
        answerEra = this.observeEra(metadata);
      });
    });
  }

  override watch(prefix: string, fromRevision: number, listener: WatchListener): () => void {
    const stream = this.watchClient.watch();
    const era = eraOfPosition(fromRevision);
    let hasEnded = false;
    const endOnce = (reason: string): void => {
      if (hasEnded) return;
      hasEnded = true;
      listener.onEnd(reason);
    };
    stream.on('metadata', (metadata) => {
      const streamEra = this.observeEra(metadata);
      if (streamEra !== era) endOnce(`the store is in era ${streamEra}`);
    });
    stream.on('data', (response) => {
      if (hasEnded) return;
      const revision = toHistoryPosition(era, response.header?.revision ?? 0);
      if (response.canceled) endOnce(response.cancelReason);
      else if (response.events.length > 0) {
        listener.onChanges(
          revision,
          response.events.map((event: Event) => toChange(event, era)),
        );
      } else listener.onProgress(revision);
    });
    stream.on('error', (error: ServiceError) => endOnce(error.details));
    stream.on('end', () => endOnce('watch stream was ended by the server'));
    stream.write(
      WatchRequest.fromPartial({
        requestUnion: {
          $case: 'createRequest',
          createRequest: {
            key: Buffer.from(prefix),
            rangeEnd: prefixEnd(prefix),
            startRevision: revisionOfPosition(fromRevision) + 1,
            progressNotify: true,
          },
        },
      }),
    );
    return () => {
      hasEnded = true;
      stream.cancel();
    };
  }

  /** A connection on which a call timed out may never answer again; later calls use a new one. */
  private replaceAfterTimeout(kv: KVClient, error: ServiceError): void {
    if (error.code === status.DEADLINE_EXCEEDED && kv === this.kv) this.replaceKvClient();
  }

  private replaceKvClient(): void {
    const { kv } = this;
    this.kv = new KVClient(this.address, this.channelCredentials, CHANNEL_OPTIONS);
    setTimeout(() => kv.close(), CLOSE_DELAY_MS).unref();
  }

  override reconnect(): void {
    this.replaceKvClient();
    this.watchClient.close();
    this.watchClient = new WatchClient(this.address, this.channelCredentials, CHANNEL_OPTIONS);
  }

  override close(): void {
    this.kv.close();
    this.watchClient.close();
  }
}

/** Creates a client of the configuration store, which speaks the etcd v3 API, at `host:port`. */
const createEtcdConfigurationStore = (
  address: string,
  channelCredentials: ChannelCredentials = credentials.createInsecure(),
): ConfigurationStore => new EtcdConfigurationStore(address, channelCredentials);

export default createEtcdConfigurationStore;
