/** An item of the store that all VMs follow; the highest revision counts. */
interface KnownDocument {
  key: string;
  revision: number;
  value: string;
}

export default KnownDocument;
