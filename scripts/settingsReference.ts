import { mkdirSync, writeFileSync } from 'node:fs';
import { renderSettingsReference } from '@auburngrade/auburngrade';

mkdirSync('docs', { recursive: true });
writeFileSync('docs/SETTINGS.md', renderSettingsReference());
