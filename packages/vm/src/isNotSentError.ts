import { status, type ServiceError } from '@grpc/grpc-js';
import NotSentError from './notSentError';

/** Prefix of the gRPC error details for a call that found no open connection. */
const NO_CONNECTION_PREFIX = 'No connection established';

/** Whether a failed call was certainly never sent. */
const isNotSentError = (error: Error): boolean => {
  if (error instanceof NotSentError) return true;
  const { code, details } = error as Partial<ServiceError>;
  return code === status.UNAVAILABLE && (details?.startsWith(NO_CONNECTION_PREFIX) ?? false);
};

export default isNotSentError;
