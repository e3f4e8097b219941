import type TermRecord from '../configuration/termRecord';

/** What one attempt to change a group's primary starts from. */
interface PromotionPlan {
  /** Names this process and start of a VM: a restarted VM is another promoter. */
  promoter: string;
  /** The term to win; above the record's term and every fence seen. */
  term: number;
  /** The record that the attempt replaces, and its revision at the platform. */
  base: TermRecord;
  baseRevision: number;
  /** Members whose majority acknowledged writes up to now. */
  voters: string[];
  /** Members by the group's document: the voters of the new term. */
  members: string[];
  /** Members that may become primary, in order of preference. */
  eligible: string[];
  /** The present primary when it is to be replaced although it may answer. */
  avoided: string | undefined;
  /** A planned change: a replica first catches up with the fenced primary. */
  isPlanned: boolean;
}

export default PromotionPlan;
