/** Answers messages of one registered kind from other VMs; the body is not checked yet. */
type MessageHandler = (fromVm: string, body: unknown) => Promise<unknown>;

export default MessageHandler;
