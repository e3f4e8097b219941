import describeSettings from './describeSettings';

const HEADER = `# Settings

Settings of one VM's daemon, a JSON object in the file that \`auburngrade run --settings\` reads.
Unknown fields, wrong types and clashes are refused with their path before anything starts;
\`auburngrade config check FILE\` shows the effective settings. Made from the schema by
\`npm run settings-reference\`.

On the users' platform the settings come from the platform's own file; the limits on callers that it
may state are in [Callers that misbehave](operations/callers.md#settings).
`;

const escapeCell = (text: string): string => text.replaceAll('|', String.raw`\|`);

/** Renders the settings reference page. */
const renderSettingsReference = (): string => {
  const rows = describeSettings().map(
    ({ path, type, limits, defaultJson, isRequired, description }) => {
      const formattedDefault = defaultJson === undefined ? '' : `\`${defaultJson}\``;
      const defaultCell = isRequired ? 'required' : formattedDefault;
      const notes = [limits && `\`${limits}\``, description].filter(Boolean).join('; ');
      return `| \`${path}\` | ${escapeCell(type)} | ${escapeCell(defaultCell)} | ${escapeCell(notes)} |`;
    },
  );
  return [
    HEADER,
    '| field | type | default | limits and notes |',
    '| --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
};

export default renderSettingsReference;
