/** Admits requests of client accounts within their rates. */
interface Admission {
  /** Takes one request of the account's rate. @throws RefusalError `rateExceeded`. */
  admit(account: string | undefined, profileName: string): Promise<void>;
}

export default Admission;
