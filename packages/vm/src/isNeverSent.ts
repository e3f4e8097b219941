import { status, type ServiceError } from '@grpc/grpc-js';
import NeverSentError from './neverSentError';

/** How the gRPC library words the failure of a call that found no open connection. */
const NO_CONNECTION = 'No connection established';

/** Whether a failed call certainly never left this VM. */
const isNeverSent = (error: Error): boolean => {
  if (error instanceof NeverSentError) return true;
  const { code, details } = error as Partial<ServiceError>;
  return code === status.UNAVAILABLE && (details?.startsWith(NO_CONNECTION) ?? false);
};

export default isNeverSent;
