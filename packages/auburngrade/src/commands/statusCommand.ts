import formatFields from './output/formatFields';
import operatorFlags from './operatorFlags';
import ProgramCommand from './programCommand';
import withOperatorClient from './withOperatorClient';

/** Shows the state of a VM. */
class StatusCommand extends ProgramCommand {
  static override description = 'Show the state of a VM.';

  static override flags = operatorFlags;

  override async run(): Promise<object> {
    const { flags } = await this.parse(StatusCommand);
    const { bodyJson } = await withOperatorClient(flags, (client) => client.status());
    const status = JSON.parse(bodyJson) as object;
    this.log(formatFields(status));
    return status;
  }
}

export default StatusCommand;
