/** Sends a message of a registered kind to another VM and gives its reply. */
type SendMessage = (vm: string, kind: string, body: unknown, timeoutMs: number) => Promise<unknown>;

export default SendMessage;
