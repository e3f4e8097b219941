import readGroupRecord from './readGroupRecord';
import readVoterSet from './readVoterSet';
import storeKeys from './storeKeys';

/** Reads from a document of the fleet its own version, if it has one, and the era of the store it was written in. */
const readDocumentOrigin = (key: string, value: string): { version?: number; era?: number } => {
  if (key === storeKeys.evacuations) return {};
  if (key !== storeKeys.voterSet) return { era: readGroupRecord(value)?.era };
  const { version, era } = readVoterSet(value) ?? {};
  return { version, era };
};

export default readDocumentOrigin;
