/** Who owns a group, and which endpoint was last made its primary; lies in the platform's store. */
interface GroupRecord {
  owner: string;
  incarnation: string;
  /** Endpoint id; empty until a primary was replaced. */
  primary: string;
  /** The least term that this primary leads; endpoints of lower terms are no primaries any more. */
  term: number;
  /** Grows with each replacement of the primary. */
  fence: number;
  /** Whether the owner before is known to have stopped, so that the primary may be replaced at once. */
  isHandedOver: boolean;
}

export default GroupRecord;
