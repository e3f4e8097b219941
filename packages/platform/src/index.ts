export { default as ConfigurationStore } from './configurationStore';
export type { default as ConditionalWrite } from './conditionalWrite';
export type { default as WriteOutcome } from './writeOutcome';
export type { default as RangeOutcome } from './rangeOutcome';
export type { default as WatchListener } from './watchListener';
export { default as createEtcdConfigurationStore } from './createEtcdConfigurationStore';
export {
  Compare_CompareResult,
  Compare_CompareTarget,
  KVService,
  LeaseService,
  WatchResponse,
  WatchService,
  type Compare,
  type KVServer,
  type LeaseServer,
  type LeaseKeepAliveRequest,
  type LeaseKeepAliveResponse,
  type RangeRequest,
  type RangeResponse,
  type RequestOp,
  type ResponseOp,
  type TxnRequest,
  type TxnResponse,
  type WatchRequest,
} from './generated/etcdserverpb/rpc';
export { Event_EventType, type Event, type KeyValue } from './generated/mvccpb/kv';
