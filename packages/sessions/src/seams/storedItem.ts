/** An item of the platform's store. */
interface StoredItem {
  key: string;
  value: string;
  /** The store's revision of its last change; revisions are comparable only within one era. */
  revision: number;
  /** Era of the store in which the item was read. */
  era: number;
}

export default StoredItem;
