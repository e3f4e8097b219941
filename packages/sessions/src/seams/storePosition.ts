/**
 * A point in the store's history. The store's era rises when it comes back from a copy: its revisions then
 * go back and are given out again.
 */
interface StorePosition {
  era: number;
  revision: number;
}

export default StorePosition;
