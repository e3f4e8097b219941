export type { default as QueryResult } from './queryResult';
export { default as EndpointError } from './endpointError';
export { default as EndpointConnection } from './endpointConnection';
export { default as Endpoint } from './endpoint';
export type { default as EndpointAddress } from './endpointAddress';
export { default as createPgEndpoint } from './createPgEndpoint';
export { default as readMemberStatus } from './readMemberStatus';
export { default as MEMBER_STATUS_SQL } from './memberStatusSql';
export { default as toMemberStatus } from './toMemberStatus';
