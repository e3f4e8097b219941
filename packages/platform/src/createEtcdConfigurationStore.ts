import {
  credentials,
  Metadata,
  status,
  type ChannelCredentials,
  type ServiceError,
} from '@grpc/grpc-js';
import { createNotRunError, type ConfigurationEntry } from '@auburngrade/coordination';
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
    targetUnion: { $case: 'modRevision', modRevision: write.expectedRevision },
  });

const toWriteOperation = (write: ConditionalWrite): RequestOp => {
  const key = Buffer.from(write.key);
  if (write.valueJson === undefined) {
    return RequestOp.fromPartial({
      request: { $case: 'requestDeleteRange', requestDeleteRange: { key } },
    });
  }
  const value = Buffer.from(write.valueJson);
  return RequestOp.fromPartial({ request: { $case: 'requestPut', requestPut: { key, value } } });
};

const toReadOperation = (write: ConditionalWrite): RequestOp =>
  RequestOp.fromPartial({
    request: { $case: 'requestRange', requestRange: { key: Buffer.from(write.key) } },
  });

const currentEntriesOf = (response: TxnResponse): ConfigurationEntry[] =>
  response.responses.flatMap(({ response: operation }) =>
    operation?.$case === 'responseRange' ? operation.responseRange.kvs.map(toEntry) : [],
  );

const toWriteOutcome = (response: TxnResponse): WriteOutcome => {
  const revision = response.header?.revision ?? 0;
  if (response.succeeded) return { kind: 'applied', revision };
  return { kind: 'conflict', revision, current: currentEntriesOf(response) };
};

const toFailedOutcome = (error: ServiceError): WriteOutcome => ({
  kind: REJECTED_STATUSES.has(error.code) ? 'unavailable' : 'unknown',
  message: error.details,
});

const toChange = (event: Event): ConfigurationEntry => ({
  key: event.kv?.key.toString('utf8') ?? '',
  valueJson: event.type === Event_EventType.DELETE ? undefined : event.kv?.value.toString('utf8'),
  modRevision: event.kv?.modRevision ?? 0,
});

class EtcdConfigurationStore extends ConfigurationStore {
  private kv: KVClient;

  private watchClient: WatchClient;

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
    let revision = 0;
    for (;;) {
      const request = RangeRequest.fromPartial({ key, rangeEnd, revision, limit: KEYS_PER_PAGE });
      const page = await this.readPage(request, deadline);
      revision ||= page.header?.revision ?? 0;
      entries.push(...page.kvs.map(toEntry));
      const lastEntry = page.kvs.at(-1);
      if (!page.more || !lastEntry) return { revision, entries };
      key = Buffer.concat([lastEntry.key, Buffer.from([0])]);
    }
  }

  private readPage(request: RangeRequest, deadline: number): Promise<RangeResponse> {
    const { kv } = this;
    return new Promise((resolve, reject) => {
      kv.range(request, new Metadata(), { deadline }, (error, response) => {
        if (error) this.replaceAfterTimeout(kv, error);
        if (error) reject(createNotRunError('platformUnavailable', error.details));
        else resolve(response);
      });
    });
  }

  override compareAndSwap(writes: ConditionalWrite[], timeoutMs: number): Promise<WriteOutcome> {
    const request = {
      compare: writes.map(toCompare),
      success: writes.map(toWriteOperation),
      failure: writes.map(toReadOperation),
    };
    const { kv } = this;
    return new Promise((resolve) => {
      kv.txn(request, new Metadata(), { deadline: Date.now() + timeoutMs }, (error, response) => {
        if (error) this.replaceAfterTimeout(kv, error);
        resolve(error ? toFailedOutcome(error) : toWriteOutcome(response));
      });
    });
  }

  override watch(prefix: string, fromRevision: number, listener: WatchListener): () => void {
    const stream = this.watchClient.watch();
    let hasEnded = false;
    const endOnce = (reason: string): void => {
      if (hasEnded) return;
      hasEnded = true;
      listener.onEnd(reason);
    };
    stream.on('data', (response) => {
      const revision = response.header?.revision ?? 0;
      if (response.canceled) endOnce(response.cancelReason);
      else if (response.events.length > 0) {
        listener.onChanges(revision, response.events.map(toChange));
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
            startRevision: fromRevision + 1,
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
