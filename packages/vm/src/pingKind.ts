/** Kind of the message by which a VM asks whether another one answers; the reply is empty. */
const PING_KIND = 'ping';

export default PING_KIND;
