import { Flags } from '@oclif/core';

/** Flags that turn TLS on; without them the connection is plain. */
const tlsFlags = {
  ca: Flags.string({
    env: 'AUBURNGRADE_CA',
    description: 'PEM file with the authorities that sign VM certificates; turns TLS on',
  }),
  cert: Flags.string({
    env: 'AUBURNGRADE_CERT',
    dependsOn: ['ca', 'tls-key'],
    description: "PEM file with this client's certificate",
  }),
  'tls-key': Flags.string({
    env: 'AUBURNGRADE_TLS_KEY',
    dependsOn: ['ca', 'cert'],
    description: 'PEM file with the private key of the certificate',
  }),
};

export default tlsFlags;
