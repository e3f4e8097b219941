import { createLoad, waitFor, type Fleet } from '@auburngrade/testkit';
import sleep from '../measurement/sleep';
import countBreaks from './countBreaks';
import createGapProbe from './createGapProbe';
import gapsMs from './gapsMs';
import type MeasuredAccount from './measuredAccount';
import primaryOf from './primaryOf';
import type Scenario from './scenario';
import summarizeScenario from './summarizeScenario';
import timeline from './timeline';

interface ScenarioOptions {
  fleet: Fleet;
  groups: string[];
  profile: string;
  accounts: MeasuredAccount[];
  probe: MeasuredAccount;
  faultMs: number;
  tailMs: number;
}

/** The part of its rate that an account sends while it keeps to it. */
const USUAL_RATIO = 0.8;
const READ_RATIO = 0.8;
const LEAD_MS = 1_000;
/** Requests whose outcome is not known may still take effect for this long. */
const REST_MS = 1_500;
const PRIMARY_WAIT_MS = 15_000;

/** Reads what the present primaries hold. */
const readItems = async (fleet: Fleet, groups: string[]): Promise<Record<string, string>> => {
  const items = {};
  for (const group of groups) {
    const primary = await waitFor(
      `primary of ${group}`,
      () => primaryOf(fleet, group),
      PRIMARY_WAIT_MS,
    );
    Object.assign(items, primary.state.items);
  }
  return items;
};

/** Runs the load through one scenario and works out its measures. */
const runScenario = async (scenario: Scenario, options: ScenarioOptions) => {
  const { fleet, groups, profile, accounts, faultMs, tailMs } = options;
  const { firstAccountFactor, gapGroup: group } = scenario;
  const load = createLoad({
    fleet,
    profile,
    groups,
    readRatio: READ_RATIO,
    accounts: accounts.map(({ name, key, ratePerS }, index) => ({
      name,
      key,
      sentPerS:
        index === 0 && firstAccountFactor > 1
          ? ratePerS * firstAccountFactor
          : ratePerS * USUAL_RATIO,
    })),
  });
  await load.prepare();
  const probe = group && createGapProbe({ fleet, profile, group, account: options.probe });
  let faultAtMs = 0;
  load.start();
  if (probe) probe.start();
  await sleep(LEAD_MS);
  await scenario.run({
    fleet,
    load,
    faultMs,
    noteFault: () => {
      faultAtMs = load.elapsedMs();
    },
  });
  await sleep(tailMs);
  const elapsedMs = load.elapsedMs();
  const records = await load.stop();
  const probes = probe ? await probe.stop() : [];
  await sleep(REST_MS);
  const items = await readItems(fleet, groups);
  const gaps = gapsMs(probes, faultAtMs, elapsedMs);
  const everyone = [...accounts, options.probe];
  return {
    scenario: scenario.name,
    ...summarizeScenario(records, accounts, gaps, firstAccountFactor, elapsedMs),
    breaks: countBreaks([...records, ...probes], items, everyone, scenario.isPlanned),
    timeline: timeline(records, elapsedMs),
  };
};

export default runScenario;
