import type { Metadata } from '@grpc/grpc-js';

const BEARER_PATTERN = /^Bearer\s+(\S+)$/i;

/** Takes the caller's key out of the request's metadata. */
const readBearerKey = (metadata: Metadata): string | undefined => {
  const [value] = metadata.get('authorization');
  return BEARER_PATTERN.exec(String(value ?? ''))?.[1];
};

export default readBearerKey;
