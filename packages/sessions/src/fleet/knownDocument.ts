/** A document of the metadata store that every VM keeps a copy of; the highest revision is current. */
interface KnownDocument {
  key: string;
  revision: number;
  value: string;
}

export default KnownDocument;
