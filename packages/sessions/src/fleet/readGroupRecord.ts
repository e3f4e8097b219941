import type GroupRecord from '../group/groupRecord';

const isCount = (value: unknown): value is number =>
  typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;

/**
 * Parses a group's ownership record; undefined when the text is not valid JSON or a field has
 * another type: a record with a wrong fence would let an old primary be believed.
 */
const readGroupRecord = (value: string): GroupRecord | undefined => {
  try {
    const record = JSON.parse(value) as Record<string, unknown>;
    const {
      owner,
      incarnation,
      primary = '',
      term = 0,
      fence = 0,
      isHandedOver,
      era,
      ownerEpoch = 0,
    } = record;
    if (typeof owner !== 'string' || typeof incarnation !== 'string') return undefined;
    if (typeof primary !== 'string' || !isCount(term) || !isCount(fence)) return undefined;
    if (!isCount(ownerEpoch)) return undefined;
    if (era !== undefined && !isCount(era)) return undefined;
    const common = {
      owner,
      incarnation,
      primary,
      term,
      fence,
      ownerEpoch,
      isHandedOver: isHandedOver === true,
    };
    return era === undefined ? common : { ...common, era };
  } catch {
    return undefined;
  }
};

export default readGroupRecord;
