import { writeFileSync } from 'node:fs';
import { renderEventsReference } from '@auburngrade/testkit';

writeFileSync('docs/EVENTS.md', renderEventsReference(process.cwd()));
