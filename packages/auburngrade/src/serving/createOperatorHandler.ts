import { createHash, randomBytes } from 'node:crypto';
import {
  documentKinds,
  nameSchema,
  toRefusal,
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
import type createDocumentWriter from '../configuration/createDocumentWriter';
import createRefusedChange from '../configuration/createRefusedChange';
import findUnknownReferences from '../configuration/findUnknownReferences';
import answerByCutOff from '../shutdown/answerByCutOff';
import createCutOffRefusal from '../shutdown/createCutOffRefusal';
import type WorkTracker from '../shutdown/workTracker';

interface OperatorHandlerOptions {
  configuration: ConfigurationState;
  writer: ReturnType<typeof createDocumentWriter>;
  /** Notifies other VMs of a stored withdrawal; resolves with the message on when it takes effect. */
  announceWithdrawal(revision: number): Promise<string>;
  /** Counts work until the returned function is called; throws a refusal while the VM shuts down. */
  beginWork(): () => void;
  /** Calls the listener when the VM, which shuts down, waits for work no longer. */
  onCutOff: WorkTracker['onCutOff'];
  /** Returns this VM's state for the `status` reply. */
  describeVm(): Record<string, unknown>;
}

const KEY_BYTES = 32;
const KEY_ID_CHARS = 16;
const KEY_ID_PATTERN = /^[0-9a-f]{16,64}$/;
const MAX_CHANGE_ID_CHARS = 64;

const isDocumentKind = (kind: string): kind is DocumentKind => Object.hasOwn(documentKinds, kind);

const isWritableKind = (kind: string): kind is DocumentKind =>
  isDocumentKind(kind) && documentKinds[kind].writable;

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

class DaemonOperatorHandler extends OperatorHandler {
  constructor(private readonly options: OperatorHandlerOptions) {
    super();
  }

  override async put(request: PutDocument): Promise<Change> {
    const { kind, name, bodyJson, expectedRevision, changeId } = request;
    if (!isWritableKind(kind))
      return createRefusedChange(
        'badRequest',
        `documents of kind ${kind} do not exist or are read-only`,
      );
    if (!nameSchema.safeParse(name).success || changeId.length > MAX_CHANGE_ID_CHARS) {
      return createRefusedChange(
        'badRequest',
        'the document name is malformed or the change id is too long',
      );
    }
    const parsed = documentKinds[kind].schema.safeParse(parseJson(bodyJson));
    if (!parsed.success) {
      const problems = parsed.error.issues.map(
        ({ path, message }) => `${path.join('.') || '(document)'}: ${message}`,
      );
      return createRefusedChange('badRequest', problems.join('; '));
    }
    const document = parsed.data;
    const { configuration, writer } = this.options;
    const change = await this.change(() =>
      writer.write({ kind, name, document, expectedRevision, changeId }),
    );
    const missing = findUnknownReferences(configuration, kind, name, document);
    if (change.verdict !== 'ran' || missing.length === 0) return change;
    return { ...change, message: `referenced but not defined yet: ${missing.join(', ')}` };
  }

  override async delete(request: DeleteDocument): Promise<Change> {
    const { kind, name, expectedRevision, changeId } = request;
    if (!isWritableKind(kind))
      return createRefusedChange(
        'badRequest',
        `documents of kind ${kind} do not exist or are read-only`,
      );
    const { writer } = this.options;
    return this.change(() =>
      writer.write({ kind, name, document: undefined, expectedRevision, changeId }),
    );
  }

  override async list({ kind }: ListDocuments): Promise<DocumentList> {
    const { configuration } = this.options;
    const documents = isDocumentKind(kind)
      ? [...configuration.list(kind)].map(([name, document]) => ({
          kind,
          name,
          bodyJson: JSON.stringify(document),
          revision: configuration.getDocumentRevision(kind, name) ?? 0,
        }))
      : [];
    return { revision: configuration.revision(), documents };
  }

  override async issueKey({ account, changeId }: IssueKeyRequest): Promise<IssueKeyReply> {
    const key = randomBytes(KEY_BYTES).toString('base64url');
    const name = createHash('sha256').update(key).digest('hex');
    const { writer } = this.options;
    const change = await this.change(async () => {
      if (!(await writer.read('account', account))) {
        return createRefusedChange('badRequest', `client account ${account} does not exist`);
      }
      const document = { account, withdrawn: false };
      return writer.write({ kind: 'key', name, document, expectedRevision: 0, changeId });
    });
    const isIssued = change.verdict !== 'notRun';
    return {
      change,
      key: isIssued ? key : '',
      keyId: isIssued ? name.slice(0, KEY_ID_CHARS) : '',
    };
  }

  override async withdrawKey({ keyId, changeId }: WithdrawKeyRequest): Promise<Change> {
    if (!KEY_ID_PATTERN.test(keyId))
      return createRefusedChange(
        'badRequest',
        'the key id must be 16 to 64 lower-case hexadecimal digits',
      );
    const { writer, announceWithdrawal } = this.options;
    return this.change(async () => {
      const { hash, document, revision } = await writer.findKey(keyId);
      const change = await writer.write({
        kind: 'key',
        name: hash,
        document: { ...(document as Record<string, unknown>), withdrawn: true },
        expectedRevision: revision,
        changeId,
      });
      if (change.verdict !== 'ran') return change;
      return { ...change, message: await announceWithdrawal(change.revision) };
    });
  }

  /** Runs a change as counted work; a thrown refusal becomes the reply. */
  private async change(run: () => Promise<Change>): Promise<Change> {
    let endWork = (): void => {};
    try {
      endWork = this.options.beginWork();
      return await answerByCutOff(run(), this.options.onCutOff, () =>
        createCutOffRefusal('mayHaveRun'),
      );
    } catch (error) {
      const { verdict, code, message } = toRefusal(error);
      return { ...createRefusedChange(code, message), verdict };
    } finally {
      endWork();
    }
  }

  override async status(): Promise<StatusReply> {
    return { bodyJson: JSON.stringify(this.options.describeVm()) };
  }
}

/** Creates the handler of operators' requests: documents, keys and status. */
const createOperatorHandler = (options: OperatorHandlerOptions): OperatorHandler =>
  new DaemonOperatorHandler(options);

export default createOperatorHandler;
