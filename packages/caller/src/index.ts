export { default as CallerHandler } from './callerHandler';
export type { default as TransactionHandler } from './transactionHandler';
export { default as createCallerService } from './createCallerService';
export { default as proxyServiceDefinition } from './proxyServiceDefinition';
export { default as createCallerClient } from './createCallerClient';
export * from './generated/auburngrade/caller/v1/caller';
