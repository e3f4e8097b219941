import { readFileSync } from 'node:fs';
import { credentials, type ChannelCredentials } from '@grpc/grpc-js';

interface TlsFiles {
  ca?: string;
  cert?: string;
  'tls-key'?: string;
}

const read = (file: string | undefined): Buffer | null =>
  file === undefined ? null : readFileSync(file);

/** Creates the credentials that the TLS flags ask for. */
const createChannelCredentials = (files: TlsFiles): ChannelCredentials =>
  files.ca === undefined
    ? credentials.createInsecure()
    : credentials.createSsl(read(files.ca), read(files['tls-key']), read(files.cert));

export default createChannelCredentials;
