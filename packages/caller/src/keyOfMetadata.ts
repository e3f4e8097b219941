import type { Metadata } from '@grpc/grpc-js';

const BEARER = /^Bearer\s+(\S+)$/i;

/** Takes the caller's key out of the request's metadata. */
const keyOfMetadata = (metadata: Metadata): string | undefined => {
  const [value] = metadata.get('authorization');
  return BEARER.exec(String(value ?? ''))?.[1];
};

export default keyOfMetadata;
