import type EvacuationPhase from './evacuationPhase';

interface PrimaryState {
  /** Phase of the data centre of the group's primary; undefined while there is no primary. */
  primaryPhase: EvacuationPhase | undefined;
  /** Phase of each member's data centre. */
  memberPhases: readonly EvacuationPhase[];
  /** Whether a member outside evacuated data centres can be promoted. */
  hasCandidate(): boolean;
}

/** Whether a statement may go to the primary now, waits for another one, or is refused at once. */
type PrimaryAccess = 'allowed' | 'wait' | 'refused';

/** Decides what becomes of a statement that needs the primary. */
const decidePrimaryAccess = ({
  primaryPhase,
  memberPhases,
  hasCandidate,
}: PrimaryState): PrimaryAccess => {
  if (primaryPhase !== undefined && primaryPhase !== 'evacuated') return 'allowed';
  return memberPhases.includes('evacuated') && !hasCandidate() ? 'refused' : 'wait';
};

export default decidePrimaryAccess;
