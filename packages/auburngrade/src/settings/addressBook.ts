import type createAddressBook from './createAddressBook';

/** Addresses as this VM reaches them. */
type AddressBook = ReturnType<typeof createAddressBook>;

export default AddressBook;
