/** Message kind with which a VM checks that another VM answers; the reply is an empty object. */
const PING_KIND = 'ping';

export default PING_KIND;
