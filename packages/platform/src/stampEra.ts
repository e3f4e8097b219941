/**
 * Adds the store's era to the JSON object that is written in it, as its first field. A value that a restored
 * store returns thus shows that it stems from an earlier era.
 */
const stampEra = (valueJson: string, era: number): string => {
  if (era === 0 || !valueJson.startsWith('{')) return valueJson;
  const rest = valueJson.slice(1);
  return rest.trimStart().startsWith('}') ? `{"storeEra":${era}}` : `{"storeEra":${era},${rest}`;
};

export default stampEra;
