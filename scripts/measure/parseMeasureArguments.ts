import { parseArgs } from 'node:util';
import deployments from './deployments';
import scenarios from './scenarios/scenarios';
import variants from './variants';

const named = <Item extends { name: string }>(
  what: string,
  items: readonly Item[],
  names: readonly string[],
): Item[] =>
  names.map((name) => {
    const found = items.find((item) => item.name === name);
    if (found) return found;
    const known = items.map((item) => `"${item.name}"`).join(', ');
    throw new Error(`no ${what} "${name}"; there are ${known}`);
  });

/**
 * Reads the command line of the measures. `--scenario`, `--deployment` and `--variant` may be
 * given several times; without them `scenarios` is undefined and the usual choice runs.
 *
 * @throws Error for an unknown option or name.
 */
const parseMeasureArguments = (args: readonly string[]) => {
  const { values } = parseArgs({
    args: [...args],
    options: {
      quick: { type: 'boolean', default: false },
      scenario: { type: 'string', multiple: true },
      deployment: { type: 'string', multiple: true },
      variant: { type: 'string', multiple: true },
    },
  });
  const { product } = variants;
  return {
    isQuick: values.quick,
    scenarios: values.scenario && named('scenario', scenarios, values.scenario),
    deployments: values.deployment
      ? named('deployment', deployments, values.deployment)
      : deployments,
    variants: values.variant
      ? named('variant', Object.values(variants), values.variant)
      : [product],
  };
};

export default parseMeasureArguments;
