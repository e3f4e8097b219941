import type Settings from './settings';
import settingsSchema from './settingsSchema';

/** Parses settings. @throws Error that names each wrong field with its path. */
const parseSettings = (text: string): Settings => {
  const parsed = settingsSchema.safeParse(JSON.parse(text));
  if (parsed.success) return parsed.data;
  const problems = parsed.error.issues.map(
    ({ path, message }) => `${path.join('.') || '(settings)'}: ${message}`,
  );
  throw new Error(problems.join('\n'));
};

export default parseSettings;
