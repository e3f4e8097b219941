import type {
  Change,
  DeleteDocument,
  DocumentList,
  IssueKeyReply,
  IssueKeyRequest,
  ListDocuments,
  PutDocument,
  StatusReply,
  WithdrawKeyRequest,
} from './generated/auburngrade/operator/v1/operator';

/** Handles the calls of the Operator service; refusals are part of the replies. */
abstract class OperatorHandler {
  abstract put(request: PutDocument): Promise<Change>;

  abstract delete(request: DeleteDocument): Promise<Change>;

  abstract list(request: ListDocuments): Promise<DocumentList>;

  abstract issueKey(request: IssueKeyRequest): Promise<IssueKeyReply>;

  abstract withdrawKey(request: WithdrawKeyRequest): Promise<Change>;

  abstract status(): Promise<StatusReply>;
}

export default OperatorHandler;
