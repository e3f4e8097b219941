const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** 32-bit FNV-1a hash of a text's UTF-16 code units. */
const hashText = (text: string): number => {
  let hash = FNV_OFFSET_BASIS;
  for (let index = 0; index < text.length; index += 1) {
    // eslint-disable-next-line no-bitwise
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  // eslint-disable-next-line no-bitwise
  return hash >>> 0;
};

export default hashText;
