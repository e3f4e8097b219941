import { readFileSync } from 'node:fs';
import { resolve } from 'node:path';
import { expect } from 'chai';
import { renderEventsReference } from '@auburngrade/testkit';

const ROOT = resolve(import.meta.dirname, '../../../..');
const rowsOf = (page: string): string[] =>
  page
    .split('\n')
    .filter((line) => line.startsWith('| ') && !line.includes('---'))
    .map((line) => line.replace(/\s+/g, ' '));

describe('the event reference page', () => {
  it('lists the events that the sources log', () => {
    const page = readFileSync(resolve(ROOT, 'docs/EVENTS.md'), 'utf8');
    expect(rowsOf(page)).to.deep.equal(rowsOf(renderEventsReference(ROOT)));
  });
});
