import { resolve } from 'node:path';

/** Path of a PEM file made for tests; `vm` is signed by `authority`, `stranger` by `otherAuthority`. */
const certificatePath = (name: string): string =>
  resolve(import.meta.dirname, '../../certificates', name);

export default certificatePath;
