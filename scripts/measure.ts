import { mkdirSync, writeFileSync } from 'node:fs';
import deployments from './measure/deployments';
import type DeploymentResult from './measure/deploymentResult';
import renderMeasureHtml from './measure/renderMeasureHtml';
import resultRows from './measure/resultRows';
import runDeployment from './measure/runDeployment';
import scenarios from './measure/scenarios/scenarios';
import variants from './measure/variants';
import formatRows from './measurement/formatRows';
import runInfo from './measurement/runInfo';
import writeResult from './measurement/writeResult';

/** Runs the measures: `npm run measure`, or `npm run measure -- --quick` in under three minutes. */
const isQuick = process.argv.includes('--quick');
const times = isQuick ? { faultMs: 3_000, tailMs: 2_000 } : { faultMs: 8_000, tailMs: 5_000 };
const MAX_RUN_MS = isQuick ? 3 * 60_000 : 15 * 60_000;
/** The quick run of the second deployment and the baseline take only these. */
const FEW = ['quiet', 'one account at 10 times its rate', 'primary killed'];

process.setMaxListeners(0);
setTimeout(() => {
  console.error('the measures took too long');
  process.exit(1);
}, MAX_RUN_MS).unref();

const info = { ...runInfo(), isQuick };
const few = scenarios.filter(({ name }) => FEW.includes(name));
const results: DeploymentResult[] = [];
for (const [index, deployment] of deployments.entries()) {
  const chosen = isQuick && index > 0 ? few : scenarios;
  const { product, baseline } = variants;
  results.push(await runDeployment({ deployment, variant: product, scenarios: chosen, ...times }));
  if (!isQuick || index === 0) {
    results.push(await runDeployment({ deployment, variant: baseline, scenarios: few, ...times }));
  }
}
console.log(`\n${formatRows(resultRows(results))}\n`);
results.forEach(({ deployment, variant, results: measured, failures }) => {
  measured.forEach(({ scenario, codes, breaks }) => {
    console.log(`${deployment}, ${variant}, ${scenario}: ${JSON.stringify({ codes, breaks })}`);
  });
  failures.forEach((failure) => console.log(`FAILED ${deployment}, ${variant}: ${failure}`));
});
console.log(JSON.stringify(info));
writeResult('measure', { ...info, results });
mkdirSync('out', { recursive: true });
writeFileSync('out/measure.html', renderMeasureHtml(info, results));
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
