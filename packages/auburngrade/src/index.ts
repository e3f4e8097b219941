export { default as settingsSchema } from './settings/settingsSchema';
export { default as parseSettings } from './settings/parseSettings';
export { default as startDaemon } from './daemon/startDaemon';
export { default as renderSettingsReference } from './settings/renderSettingsReference';
