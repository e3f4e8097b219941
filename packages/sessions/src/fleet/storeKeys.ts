/** Keys and key prefixes that the proxy uses in the platform's metadata store. */
const storeKeys = {
  root: 'auburngrade/',
  groupPrefix: 'auburngrade/groups/',
  vmPrefix: 'auburngrade/vms/',
  /** Followed by the data centre and the number of the seat. */
  seatPrefix: 'auburngrade/seats/',
};

export default storeKeys;
