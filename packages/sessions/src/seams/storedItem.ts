/** An item of the platform's store; `revision` is that of its last change. */
interface StoredItem {
  key: string;
  value: string;
  revision: number;
}

export default StoredItem;
