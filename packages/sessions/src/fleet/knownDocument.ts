import type { DocumentPosition } from '@auburngrade/coordination';

/** A document of the metadata store that every VM keeps a copy of; the highest position is current. */
interface KnownDocument extends DocumentPosition {
  key: string;
  value: string;
}

export default KnownDocument;
