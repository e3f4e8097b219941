import type TermRecord from '../configuration/termRecord';

/** Parameters of one promotion. */
interface PromotionPlan {
  /** Identifies a VM and its process start: a restarted VM is another promoter. */
  promoter: string;
  /** The term to claim; higher than the record's term and every fenced term seen. */
  term: number;
  /** The term record that the promotion replaces, and its revision in the platform's store. */
  base: TermRecord;
  baseRevision: number;
  /** Voters of `base`: a majority of them holds every acknowledged write. */
  voters: string[];
  /** Members by the group's configuration: the voters of the new term. */
  members: string[];
  /** Members that may become primary, in order of preference. */
  eligible: string[];
  /** Current primary to replace although it may still answer. */
  avoided: string | undefined;
  /** Whether the change is planned: a replica first catches up with the fenced primary. */
  isPlanned: boolean;
}

export default PromotionPlan;
