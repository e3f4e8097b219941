const STAMP = /^\{"storeEra":(\d+)(,|\})/;

/** Splits a stored value into the era that `stampEra` added and the value without it; values may lack one. */
const readStamp = (valueJson: string): { era: number | undefined; valueJson: string } => {
  const match = STAMP.exec(valueJson);
  if (!match) return { era: undefined, valueJson };
  const rest = match[2] === '}' ? '}' : valueJson.slice(match[0].length);
  return { era: Number(match[1]), valueJson: `{${rest}` };
};

export default readStamp;
