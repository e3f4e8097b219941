import type Settings from './settings';

/** Gives the address at which this VM reaches another party. */
const createAddressBook = (settings: Pick<Settings, 'addresses'>) => ({
  resolve: (host: string, port: number): { host: string; port: number } => {
    const replacement = settings.addresses[`${host}:${port}`];
    if (replacement === undefined) return { host, port };
    const separator = replacement.lastIndexOf(':');
    return {
      host: replacement.slice(0, separator),
      port: Number(replacement.slice(separator + 1)),
    };
  },
});

export default createAddressBook;
