const ENTITIES: Record<string, string> = {
  '&': '&amp;',
  '<': '&lt;',
  '>': '&gt;',
  '"': '&quot;',
};

/** Escapes text for HTML. */
const escapeHtml = (text: string): string =>
  text.replace(/[&<>"]/g, (character) => ENTITIES[character] ?? character);

export default escapeHtml;
