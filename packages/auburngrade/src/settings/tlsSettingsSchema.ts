import { z } from 'zod';

const fileSchema = z.string().min(1);

const serverTlsSchema = z.strictObject({
  certFile: fileSchema,
  keyFile: fileSchema,
  /** Authorities of client certificates; when given, clients must show one. */
  clientCaFile: fileSchema.optional(),
});

const mutualTlsSchema = z.strictObject({
  certFile: fileSchema,
  keyFile: fileSchema,
  caFile: fileSchema,
  /** Name that each VM's certificate bears; without it, certificates bear the VMs' addresses. */
  serverName: z.string().min(1).optional(),
});

/** PEM files for TLS on each side, or the word `plain`; nothing is plain unless set so. */
const tlsSettingsSchema = z.strictObject({
  callers: z.union([z.literal('plain'), serverTlsSchema]),
  operators: z.union([z.literal('plain'), serverTlsSchema]),
  /** Between VMs both sides show a certificate. */
  vms: z.union([z.literal('plain'), mutualTlsSchema]),
});

export default tlsSettingsSchema;
