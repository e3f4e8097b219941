/** A group's owner and last promoted primary, as stored in the platform's store. */
interface GroupRecord {
  owner: string;
  /** Id of the process of the owning VM. */
  incarnation: string;
  /** Endpoint id; empty until a primary was first replaced. */
  primary: string;
  /** Minimum term of this primary; an endpoint that reports a lower term is no longer primary. */
  term: number;
  /** Fencing token: increases by one with each replacement of the primary. */
  fence: number;
  /**
   * Counts the changes of owner up to this one. A VM that owns the group again, in a later epoch, knows nothing of
   * what other owners did in between.
   */
  ownerEpoch: number;
  /** Whether the previous owner has stopped for certain, so the primary may be replaced at once. */
  isHandedOver: boolean;
  /** Era of the store in which it was written; absent in records of earlier versions. */
  era?: number;
}

export default GroupRecord;
