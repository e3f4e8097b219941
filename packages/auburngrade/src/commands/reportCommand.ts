import { setTimeout as sleep } from 'node:timers/promises';
import { writeFileSync } from 'node:fs';
import { profileSchema } from '@auburngrade/coordination';
import { Flags } from '@oclif/core';
import computeReport from '../report/computeReport';
import type Objectives from '../report/objectives';
import readHistory from '../report/readHistory';
import renderReportHtml from '../report/renderReportHtml';
import renderReportText from '../report/renderReportText';
import takeSample from '../report/takeSample';
import exitCodes from './exitCodes';
import operatorFlags from './operatorFlags';
import ProgramCommand from './programCommand';
import withOperatorClient from './withOperatorClient';

type OperatorFlags = Parameters<typeof withOperatorClient>[0];

const readObjectives = async (flags: OperatorFlags): Promise<Map<string, Objectives>> => {
  const { documents } = await withOperatorClient(flags, (client) =>
    client.list({ kind: 'profile' }),
  );
  return new Map(
    documents.map(({ name, bodyJson }) => [
      name,
      profileSchema.parse(JSON.parse(bodyJson)).objectives,
    ]),
  );
};

/** Reports service-level burn by profile and client account. */
class ReportCommand extends ProgramCommand {
  static override description =
    "Report service-level burn by profile and client account from the VMs' metrics.";

  static override flags = {
    ...operatorFlags,
    vm: Flags.string({
      multiple: true,
      required: true,
      description: "a VM's HTTP address, host:port; once for each VM",
    }),
    history: Flags.string({
      description: 'JSON file of earlier samples; new samples are added to it',
    }),
    samples: Flags.integer({ default: 1, min: 1, description: 'how many samples to take' }),
    'every-ms': Flags.integer({ default: 1_000, min: 1, description: 'time between samples' }),
    html: Flags.string({ description: 'write the report as an HTML page to this file' }),
  };

  override async run(): Promise<object> {
    const { flags } = await this.parse(ReportCommand);
    const objectives = await readObjectives(flags);
    const samples = readHistory(flags.history);
    for (let taken = 0; taken < flags.samples; taken += 1) {
      if (taken > 0) await sleep(flags['every-ms']);
      samples.push(await takeSample(flags.vm, flags['timeout-ms']));
    }
    if (flags.history !== undefined) {
      writeFileSync(flags.history, JSON.stringify({ version: 1, samples }));
    }
    const report = computeReport(samples, (profile) => objectives.get(profile));
    if (flags.html !== undefined) writeFileSync(flags.html, renderReportHtml(report));
    this.log(renderReportText(report));
    if (report.unreachable.length > 0) process.exitCode = exitCodes.failure;
    return report;
  }
}

export default ReportCommand;
