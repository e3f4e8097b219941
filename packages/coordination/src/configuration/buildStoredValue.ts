import parseChangeIds from './parseChangeIds';

/** A write whose reply was lost can be recognised until this many later changes were made. */
const MAX_CHANGE_IDS = 16;

/** Builds a document's stored value: adds `changeId` to the change ids of `previousJson`. */
const buildStoredValue = (
  document: unknown,
  changeId: string,
  previousJson: string | undefined,
): string => {
  const changeIds = [changeId, ...parseChangeIds(previousJson)].slice(0, MAX_CHANGE_IDS);
  return JSON.stringify({ document, changeIds });
};

export default buildStoredValue;
