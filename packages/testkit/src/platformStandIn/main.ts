import { createServer } from 'node:http';
import {
  Metadata,
  Server,
  ServerCredentials,
  status,
  type sendUnaryData,
  type ServerDuplexStream,
  type ServerUnaryCall,
} from '@grpc/grpc-js';
import {
  KVService,
  LeaseService,
  WatchService,
  WatchResponse,
  type KVServer,
  type LeaseServer,
  type LeaseKeepAliveRequest,
  type LeaseKeepAliveResponse,
  type WatchRequest,
} from '@auburngrade/platform';
import { revisionOfPosition, toHistoryPosition } from '@auburngrade/coordination';
import createStore from './createStore';
import platformSettingsSchema from './platformSettingsSchema';

/** Entry point of the platform's stand-in; settings come as JSON in the first argument. */
const settings = platformSettingsSchema.parse(JSON.parse(process.argv[2] ?? '{}'));
const store = createStore();
const PROGRESS_INTERVAL_MS = 500;
const MS_PER_S = 1000;
/** `isDown` refuses calls; `loseAnswers` and `loseWriteAnswers` take effect and then report an error. */
const faults = { isDown: 0, delayMs: settings.delayMs, loseAnswers: 0, loseWriteAnswers: 0 };
const counts = { range: 0, txn: 0, watch: 0, lease: 0, watchesOpen: 0 };
const watches = new Set<ServerDuplexStream<WatchRequest, WatchResponse>>();
const leases = new Map<number, NodeJS.Timeout>();

const later = (run: () => void): void => {
  setTimeout(run, faults.delayMs);
};

const unavailable = { code: status.UNAVAILABLE, details: 'platform is down' };

const eraMetadata = (): Metadata => {
  const metadata = new Metadata();
  metadata.set('store-era', String(store.era()));
  return metadata;
};

const answer = <Request, Reply>(
  kind: 'range' | 'txn' | 'lease',
  call: ServerUnaryCall<Request, Reply>,
  callback: sendUnaryData<Reply>,
  run: () => Reply,
): void => {
  counts[kind] += 1;
  later(() => {
    if (faults.isDown) {
      callback(unavailable);
      return;
    }
    const reply = run();
    call.sendMetadata(eraMetadata());
    const isLost = faults.loseAnswers || (kind === 'txn' && faults.loseWriteAnswers);
    if (isLost) callback({ code: status.UNAVAILABLE, details: 'answer lost' });
    else callback(null, reply);
  });
};

const sendProgress = (
  stream: ServerDuplexStream<WatchRequest, WatchResponse>,
  created: boolean,
): void => {
  // Delayed like changes: progress that overtakes them would claim what was not sent yet.
  const response = WatchResponse.fromPartial({ header: store.header(), created });
  later(() => stream.write(response));
};

const serveWatch = (stream: ServerDuplexStream<WatchRequest, WatchResponse>): void => {
  let stop = (): void => {};
  counts.watch += 1;
  counts.watchesOpen += 1;
  watches.add(stream);
  if (faults.isDown) {
    stream.emit('error', unavailable);
  }
  stream.sendMetadata(eraMetadata());
  stream.on('data', ({ requestUnion }: WatchRequest) => {
    if (requestUnion?.$case !== 'createRequest') return;
    const { key, rangeEnd, startRevision } = requestUnion.createRequest;
    const send = (revision: number, events: WatchResponse['events']): void => {
      const wanted = events.filter((event) =>
        store.isBetween(event.kv?.key.toString() ?? '', key, rangeEnd),
      );
      if (wanted.length === 0) return;
      const header = { ...store.header(), revision };
      stream.write(WatchResponse.fromPartial({ header, events: wanted }));
    };
    if (startRevision > 0) {
      store.historyFrom(startRevision).forEach(({ revision, events }) => send(revision, events));
    }
    sendProgress(stream, true);
    const stopChanges = store.onChange((revision, events) => later(() => send(revision, events)));
    const timer = setInterval(() => sendProgress(stream, false), PROGRESS_INTERVAL_MS);
    stop = () => {
      stopChanges();
      clearInterval(timer);
    };
  });
  const end = (): void => {
    stop();
    if (watches.delete(stream)) counts.watchesOpen -= 1;
  };
  stream.on('end', () => stream.end());
  stream.on('close', end);
  stream.on('error', end);
  stream.on('cancelled', end);
};

const expireLease = (leaseId: number): void => {
  leases.delete(leaseId);
  store.keysOfLease(leaseId).forEach((key) => store.removeDirect(key));
};

const renewLease = (leaseId: number, ttlS: number): void => {
  clearTimeout(leases.get(leaseId));
  leases.set(
    leaseId,
    setTimeout(() => expireLease(leaseId), ttlS * MS_PER_S),
  );
};

const ttls = new Map<number, number>();
const serveKeepAlive = (
  stream: ServerDuplexStream<LeaseKeepAliveRequest, LeaseKeepAliveResponse>,
): void => {
  stream.on('data', ({ ID }: LeaseKeepAliveRequest) => {
    counts.lease += 1;
    if (faults.isDown) return;
    const ttlS = leases.has(ID) ? (ttls.get(ID) ?? 0) : 0;
    if (ttlS > 0) renewLease(ID, ttlS);
    stream.write({ header: store.header(), ID, TTL: ttlS });
  });
  stream.on('end', () => stream.end());
  stream.on('error', () => {});
};

const server = new Server();
const kv: KVServer = {
  range: (call, callback) => answer('range', call, callback, () => store.range(call.request)),
  txn: (call, callback) => answer('txn', call, callback, () => store.txn(call.request)),
};
const lease: LeaseServer = {
  leaseGrant: (call, callback) =>
    answer('lease', call, callback, () => {
      const ID = call.request.ID || Math.floor(Math.random() * Number.MAX_SAFE_INTEGER);
      ttls.set(ID, call.request.TTL);
      renewLease(ID, call.request.TTL);
      return { header: store.header(), ID, TTL: call.request.TTL, error: '' };
    }),
  leaseRevoke: (call, callback) =>
    answer('lease', call, callback, () => {
      clearTimeout(leases.get(call.request.ID));
      expireLease(call.request.ID);
      return { header: store.header() };
    }),
  leaseKeepAlive: serveKeepAlive,
};
server.addService(KVService, kv);
server.addService(WatchService, { watch: serveWatch });
server.addService(LeaseService, lease);

const setFault = (name: string, value: number): void => {
  Object.assign(faults, { [name]: value });
  if (faults.isDown) watches.forEach((stream) => stream.destroy(new Error('platform is down')));
};

/** Restores the store from a copy; the list of VMs is the platform's own, which writes it again. */
const restore = (position: number): void => {
  watches.forEach((stream) => stream.destroy(new Error('the store was restored')));
  leases.forEach((timer) => clearTimeout(timer));
  leases.clear();
  store.restore(revisionOfPosition(position), '/platform/');
};

/** Changes the list of VMs after the list's lag. */
const setVm = (name: string, valueJson: string | null): void => {
  setTimeout(() => {
    const key = `/platform/vms/${name}`;
    if (valueJson === null) store.removeDirect(key);
    else store.putDirect(key, valueJson);
  }, settings.listLagMs);
};

createServer((request, response) => {
  const url = new URL(request.url ?? '/', 'http://localhost');
  if (url.pathname === '/faults') {
    url.searchParams.forEach((value, name) => setFault(name, Number(value)));
  }
  if (url.pathname === '/restore') restore(Number(url.searchParams.get('position')));
  if (url.pathname.startsWith('/vms/')) {
    setVm(url.pathname.slice('/vms/'.length), url.searchParams.get('value'));
  }
  const revision = toHistoryPosition(store.era(), store.revision());
  response.end(JSON.stringify({ ...counts, revision }));
}).listen(settings.controlPort, settings.host);

server.bindAsync(
  `${settings.host}:${settings.port}`,
  ServerCredentials.createInsecure(),
  (error) => {
    if (error) throw error;
    process.stdout.write('ready\n');
  },
);
process.on('SIGTERM', () => process.exit(0));
