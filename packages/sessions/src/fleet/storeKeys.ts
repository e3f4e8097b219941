/** Keys of the product in the platform's store. */
const storeKeys = {
  root: 'auburngrade/',
  groupPrefix: 'auburngrade/groups/',
  vmPrefix: 'auburngrade/vms/',
};

export default storeKeys;
