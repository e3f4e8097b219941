/** Keys and key prefixes that the proxy uses in the platform's metadata store. */
const storeKeys = {
  root: 'auburngrade/',
  groupPrefix: 'auburngrade/groups/',
  vmPrefix: 'auburngrade/vms/',
  /** Followed by the data centre and the number of the seat. */
  seatPrefix: 'auburngrade/seats/',
  /** The set of voters that majorities are counted over; without a lease. */
  voterSet: 'auburngrade/voters',
  /** Names the evacuated data centres among VMs; the store has the operators' own keys instead. */
  evacuations: 'auburngrade/evacuations',
};

export default storeKeys;
