/** Sends a message to another VM and resolves with the unvalidated body of its reply. */
type SendMessage = (vm: string, kind: string, body: unknown, timeoutMs: number) => Promise<unknown>;

export default SendMessage;
