import { mkdirSync, writeFileSync } from 'node:fs';
import type DeploymentResult from './measure/deploymentResult';
import parseMeasureArguments from './measure/parseMeasureArguments';
import planMeasures from './measure/planMeasures';
import renderMeasureHtml from './measure/renderMeasureHtml';
import resultRows from './measure/resultRows';
import runDeployment from './measure/runDeployment';
import formatRows from './measurement/formatRows';
import runInfo from './measurement/runInfo';
import writeResult from './measurement/writeResult';

/**
 * Runs the measures: `npm run measure`, or `npm run measure -- --quick` in under three minutes.
 * `npm run measure -- --quick --scenario quiet --deployment brazos` runs one scenario alone.
 */
const chosen = parseMeasureArguments(process.argv.slice(2));
const { isQuick } = chosen;
const times = isQuick ? { faultMs: 3_000, tailMs: 2_000 } : { faultMs: 8_000, tailMs: 5_000 };
const MAX_RUN_MS = isQuick ? 3 * 60_000 : 15 * 60_000;
/** A chosen scenario does not replace the result of the whole run. */
const name = chosen.scenarios ? 'measure-chosen' : 'measure';

process.setMaxListeners(0);
setTimeout(() => {
  console.error('the measures took too long');
  process.exit(1);
}, MAX_RUN_MS).unref();

const info = { ...runInfo(), isQuick };
const results: DeploymentResult[] = [];
for (const plan of planMeasures(chosen)) {
  // A fleet that does not start must not cost the results of the others.
  const result = await runDeployment({ ...plan, ...times }).catch(
    (error: Error): DeploymentResult => ({
      deployment: plan.deployment.name,
      variant: plan.variant.name,
      results: [],
      failures: [`start: ${error.message}`],
    }),
  );
  results.push(result);
}
console.log(`\n${formatRows(resultRows(results))}\n`);
results.forEach(({ deployment, variant, results: measured, failures }) => {
  measured.forEach(({ scenario, codes, breaks }) => {
    console.log(`${deployment}, ${variant}, ${scenario}: ${JSON.stringify({ codes, breaks })}`);
  });
  failures.forEach((failure) => console.log(`FAILED ${deployment}, ${variant}: ${failure}`));
});
console.log(JSON.stringify(info));
writeResult(name, { ...info, results });
mkdirSync('out', { recursive: true });
writeFileSync(`out/${name}.html`, renderMeasureHtml(info, results));
const broken = results
  .filter(({ variant }) => variant === 'auburngrade')
  .flatMap(({ results: measured }) => measured)
  .flatMap(({ breaks }) => Object.values(breaks))
  .reduce((sum, count) => sum + count, 0);
const isFailed = results.some(
  ({ variant, failures }) => variant === 'auburngrade' && failures.length > 0,
);
console.log(`broken promises: ${broken}`);
process.exit(broken === 0 && !isFailed ? 0 : 1);
