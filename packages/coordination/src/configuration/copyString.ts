/**
 * The same text in memory of its own. A part that was cut out of a longer text keeps that text
 * in memory, which adds up for a string retained per document.
 */
const copyString = (text: string): string => Buffer.from(text).toString();

export default copyString;
