import listSettingsProblems from './listSettingsProblems';
import type Settings from './settings';
import SettingsError from './settingsError';
import settingsSchema from './settingsSchema';

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch (error) {
    throw new SettingsError([`(settings): ${error instanceof Error ? error.message : error}`]);
  }
};

/** Parses settings. @throws SettingsError that names each wrong field with its path. */
const parseSettings = (text: string): Settings => {
  const parsed = settingsSchema.safeParse(parseJson(text));
  if (parsed.success) return parsed.data;
  throw new SettingsError(listSettingsProblems(parsed.error));
};

export default parseSettings;
