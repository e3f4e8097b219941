/** An item of the platform's store; `revision` is the store's revision of its last change. */
interface StoredItem {
  key: string;
  value: string;
  revision: number;
}

export default StoredItem;
