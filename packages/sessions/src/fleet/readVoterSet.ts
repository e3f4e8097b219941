import type { VoterSet } from '@auburngrade/coordination';

interface VoterSetRecord extends VoterSet {
  /** Era of the store that it was written in. */
  era: number;
}

const isCount = (value: unknown): value is number =>
  typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;
const isName = (value: unknown): value is string => typeof value === 'string' && value !== '';

/** Parses the recorded set of voters; undefined when the text is not valid JSON or a field has another type. */
const readVoterSet = (value: string): VoterSetRecord | undefined => {
  try {
    const { version, vms, era } = JSON.parse(value) as Record<string, unknown>;
    if (!isCount(version) || !isCount(era)) return undefined;
    if (!Array.isArray(vms) || !vms.every(isName)) return undefined;
    return { version, vms: [...new Set(vms)], era };
  } catch {
    return undefined;
  }
};

export default readVoterSet;
