/** Answers messages of one kind from other VMs; the handler must validate the body. */
type MessageHandler = (fromVm: string, body: unknown) => Promise<unknown>;

export default MessageHandler;
