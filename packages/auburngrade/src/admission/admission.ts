/** Admits requests of client accounts within their rates. */
interface Admission {
  /**
   * Takes one request of the account's rate, by the request's deadline at the latest.
   * @throws RefusalError `rateExceeded` or `shareUnavailable`.
   */
  admit(account: string | undefined, profileName: string, deadlineAtMs: number): Promise<void>;
}

export default Admission;
