/** Keys and key prefixes that the proxy uses in the platform's metadata store. */
const storeKeys = {
  root: 'auburngrade/',
  groupPrefix: 'auburngrade/groups/',
  vmPrefix: 'auburngrade/vms/',
};

export default storeKeys;
