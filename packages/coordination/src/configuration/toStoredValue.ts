import changeIdsOf from './changeIdsOf';

/** How many changes back a lost answer can still be resolved. */
const KEPT_CHANGE_IDS = 16;

/** Builds the stored value of a document changed by `changeId` from `previousJson`. */
const toStoredValue = (
  document: unknown,
  changeId: string,
  previousJson: string | undefined,
): string => {
  const changeIds = [changeId, ...changeIdsOf(previousJson)].slice(0, KEPT_CHANGE_IDS);
  return JSON.stringify({ document, changeIds });
};

export default toStoredValue;
