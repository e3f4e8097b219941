const SECRET_NAME = /(key|secret|password|token)$/i;
const MASK = '***';

/** Copies a value with each field that holds a secret replaced by a mask. */
const maskSecrets = (value: unknown): unknown => {
  if (Array.isArray(value)) return value.map(maskSecrets);
  if (typeof value !== 'object' || value === null) return value;
  return Object.fromEntries(
    Object.entries(value).map(([name, field]) => [
      name,
      SECRET_NAME.test(name) && typeof field === 'string' ? MASK : maskSecrets(field),
    ]),
  );
};

export default maskSecrets;
