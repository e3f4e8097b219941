import { readdirSync, readFileSync } from 'node:fs';
import { basename, join } from 'node:path';
import ts from 'typescript';

/** Where a VM on the platform writes its log. */
const SOURCES = ['packages/sessions/src', 'packages/auburngrade/src/site', 'platform'];

interface EventUse {
  event: string;
  level: string;
  fields: string[];
  module: string;
}

const sourcesUnder = (folder: string): string[] =>
  readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) {
      return ['generated', 'node_modules'].includes(entry.name) ? [] : sourcesUnder(path);
    }
    return path.endsWith('.ts') && !path.endsWith('.spec.ts') ? [path] : [];
  });

/** An event is named by a literal, or by the choice between two. */
const eventNames = (node: ts.Expression | undefined): string[] => {
  if (!node) return [];
  if (ts.isStringLiteral(node)) return [node.text];
  if (ts.isConditionalExpression(node)) {
    return [...eventNames(node.whenTrue), ...eventNames(node.whenFalse)];
  }
  return [];
};

const fieldNames = (node: ts.Expression | undefined): string[] =>
  node && ts.isObjectLiteralExpression(node)
    ? node.properties.flatMap(({ name }) => (name && ts.isIdentifier(name) ? [name.text] : []))
    : [];

const usesIn = (path: string): EventUse[] => {
  const source = ts.createSourceFile(path, readFileSync(path, 'utf8'), ts.ScriptTarget.Latest);
  const uses: EventUse[] = [];
  const visit = (node: ts.Node): void => {
    if (ts.isCallExpression(node) && ts.isPropertyAccessExpression(node.expression)) {
      const { name, expression } = node.expression;
      const isLog = ts.isIdentifier(expression) && expression.text === 'log';
      if (isLog && ['info', 'warn'].includes(name.text)) {
        const [first, second] = node.arguments;
        eventNames(first).forEach((event) =>
          uses.push({
            event,
            level: name.text,
            fields: fieldNames(second),
            module: basename(path, '.ts'),
          }),
        );
      }
    }
    ts.forEachChild(node, visit);
  };
  visit(source);
  return uses;
};

const sortedList = (values: Iterable<string>): string => [...new Set(values)].sort().join(', ');

/** The page of all events that a VM on the platform logs, from the calls in its sources. */
const renderEventsReference = (root: string): string => {
  const uses = SOURCES.flatMap((folder) => sourcesUnder(join(root, folder))).flatMap(usesIn);
  const names = [...new Set(uses.map(({ event }) => event))].sort();
  const rows = names.map((event) => {
    const same = uses.filter((use) => use.event === event);
    const fields = sortedList(same.flatMap((use) => use.fields));
    return `| ${event} | ${sortedList(same.map(({ level }) => level))} | ${fields} | ${sortedList(same.map(({ module }) => module))} |`;
  });
  return [
    '# Events',
    '',
    'Made by `npm run events-reference` from the sources. Each line also has `at`, `ageMs` of the process, `level`, `vm` and `event`; `log.leftOut` (`of`, `lines`) and `log.dropped` (`lines`) count what was not written.',
    '',
    '| event | level | fields | module |',
    '| --- | --- | --- | --- |',
    ...rows,
    '',
  ].join('\n');
};

export default renderEventsReference;
