import type GroupRecord from '../group/groupRecord';

/** Parses a group's ownership record; undefined when the text is not valid JSON or names no owner. */
const readGroupRecord = (value: string): GroupRecord | undefined => {
  try {
    const record = JSON.parse(value) as Partial<GroupRecord>;
    const { owner, incarnation, primary, fence } = record;
    if (typeof owner !== 'string' || typeof incarnation !== 'string') return undefined;
    return {
      owner,
      incarnation,
      primary: primary ?? '',
      term: Number(record.term ?? 0),
      fence: Number(fence ?? 0),
      isHandedOver: record.isHandedOver === true,
    };
  } catch {
    return undefined;
  }
};

export default readGroupRecord;
