import type Settings from './settings';

/** Gives the address at which this VM reaches another party. */
const createAddressBook = (settings: Pick<Settings, 'addresses'>) => ({
  resolve: (host: string, port: number): { host: string; port: number } => {
    const replaced = settings.addresses[`${host}:${port}`];
    if (replaced === undefined) return { host, port };
    const separator = replaced.lastIndexOf(':');
    return { host: replaced.slice(0, separator), port: Number(replaced.slice(separator + 1)) };
  },
});

export default createAddressBook;
