import { Command } from '@oclif/core';
import { createOperatorClient } from '@auburngrade/operator';
import operatorFlags from './operatorFlags';

/** Prints the state of a VM. */
class StatusCommand extends Command {
  static override description = 'Show the state of a VM.';

  static override flags = operatorFlags;

  override async run(): Promise<void> {
    const { flags } = await this.parse(StatusCommand);
    const client = createOperatorClient(flags.address, flags.timeoutMs);
    const { bodyJson } = await client.status();
    client.close();
    this.log(bodyJson);
  }
}

export default StatusCommand;
