import { createHash, randomBytes } from 'node:crypto';
import {
  documentKinds,
  type ConfigurationState,
  type DocumentKind,
} from '@auburngrade/coordination';
import {
  OperatorHandler,
  type Change,
  type DeleteDocument,
  type DocumentList,
  type IssueKeyReply,
  type IssueKeyRequest,
  type ListDocuments,
  type PutDocument,
  type StatusReply,
  type WithdrawKeyRequest,
} from '@auburngrade/operator';
import type { Platform } from '@auburngrade/platform';

interface OperatorHandlerOptions {
  platform: Platform;
  configuration: ConfigurationState;
  timeoutMs: number;
  /** Describes this VM's state for `status`. */
  describe(): Record<string, unknown>;
}

const KEY_BYTES = 32;
const KEY_ID_CHARS = 16;
const ANY_REVISION = -1;

const refused = (code: string, message: string): Change => ({
  verdict: 'notRun',
  revision: 0,
  refusalCode: code,
  message,
});

const isKind = (kind: string): kind is DocumentKind => Object.hasOwn(documentKinds, kind);

class DaemonOperatorHandler extends OperatorHandler {
  constructor(private readonly options: OperatorHandlerOptions) {
    super();
  }

  override async put({ kind, name, bodyJson, expectedRevision }: PutDocument): Promise<Change> {
    if (!isKind(kind) || !documentKinds[kind].writable) {
      return refused('badRequest', `no documents of kind ${kind}`);
    }
    const parsed = documentKinds[kind].schema.safeParse(JSON.parse(bodyJson));
    if (!parsed.success) {
      const problems = parsed.error.issues.map(
        ({ path, message }) => `${path.join('.')}: ${message}`,
      );
      return refused('badRequest', problems.join('; '));
    }
    return this.write(kind, name, JSON.stringify(parsed.data), expectedRevision);
  }

  override async delete({ kind, name, expectedRevision }: DeleteDocument): Promise<Change> {
    if (!isKind(kind) || !documentKinds[kind].writable) {
      return refused('badRequest', `no documents of kind ${kind}`);
    }
    return this.write(kind, name, undefined, expectedRevision);
  }

  override async list({ kind }: ListDocuments): Promise<DocumentList> {
    const { configuration } = this.options;
    const documents = isKind(kind)
      ? [...configuration.list(kind)].map(([name, document]) => ({
          kind,
          name,
          bodyJson: JSON.stringify(document),
          revision: configuration.revisionOf(kind, name) ?? 0,
        }))
      : [];
    return { revision: configuration.revision(), documents };
  }

  override async issueKey({ account }: IssueKeyRequest): Promise<IssueKeyReply> {
    const key = randomBytes(KEY_BYTES).toString('base64url');
    const hash = createHash('sha256').update(key).digest('hex');
    const change = await this.write('key', hash, JSON.stringify({ account, withdrawn: false }), 0);
    return { change, key, keyId: hash.slice(0, KEY_ID_CHARS) };
  }

  override async withdrawKey({ keyId }: WithdrawKeyRequest): Promise<Change> {
    const { configuration } = this.options;
    const found = [...configuration.list('key')].find(([hash]) => hash.startsWith(keyId));
    if (!found) return refused('badRequest', `no key ${keyId}`);
    const [hash, document] = found;
    return this.write('key', hash, JSON.stringify({ ...document, withdrawn: true }), ANY_REVISION);
  }

  override async status(): Promise<StatusReply> {
    return { bodyJson: JSON.stringify(this.options.describe()) };
  }

  private async write(
    kind: DocumentKind,
    name: string,
    valueJson: string | undefined,
    expected: number,
  ): Promise<Change> {
    const { configuration, platform, timeoutMs } = this.options;
    const expectedRevision =
      expected === ANY_REVISION ? (configuration.revisionOf(kind, name) ?? 0) : expected;
    const key = documentKinds[kind].prefix + name;
    const outcome = await platform.compareAndSwap(
      [{ key, valueJson, expectedRevision }],
      timeoutMs,
    );
    if (outcome.kind === 'applied') {
      return { verdict: 'ran', revision: outcome.revision, refusalCode: '', message: '' };
    }
    if (outcome.kind === 'conflict') {
      const current = outcome.current[0]?.modRevision ?? 0;
      return { ...refused('conflict', `document is at revision ${current}`), revision: current };
    }
    const verdict = outcome.kind === 'unknown' ? 'mayHaveRun' : 'notRun';
    return { ...refused('platformUnavailable', outcome.message), verdict };
  }
}

/** Creates what the VM does for operators. */
const createOperatorHandler = (options: OperatorHandlerOptions): OperatorHandler =>
  new DaemonOperatorHandler(options);

export default createOperatorHandler;
