import { keySchema } from '@auburngrade/coordination';
import formatTable from './output/formatTable';
import operatorFlags from './operatorFlags';
import ProgramCommand from './programCommand';
import withOperatorClient from './withOperatorClient';

/** Length of a key's id: a prefix of the hash under which the key is stored. */
const KEY_ID_CHARS = 16;

/** Lists keys by id; neither secrets nor whole hashes are shown. */
class KeyListCommand extends ProgramCommand {
  static override description = 'List the keys that the VM knows, by id.';

  static override flags = operatorFlags;

  override async run(): Promise<object> {
    const { flags } = await this.parse(KeyListCommand);
    const list = await withOperatorClient(flags, (client) => client.list({ kind: 'key' }));
    const keys = list.documents.map(({ name, bodyJson }) => {
      const { account, withdrawn } = keySchema.parse(JSON.parse(bodyJson));
      return { keyId: name.slice(0, KEY_ID_CHARS), account, withdrawn };
    });
    const rows = keys.map(({ keyId, account, withdrawn }) => [
      keyId,
      account,
      withdrawn ? 'withdrawn' : 'valid',
    ]);
    this.log(formatTable(['id', 'account', 'state'], rows));
    return { revision: list.revision, keys };
  }
}

export default KeyListCommand;
