/** Rate limiter for the requests of client accounts. */
interface Admission {
  /**
   * Takes one token of the account's rate, waiting until the request's deadline at most.
   * @throws RefusalError `unauthenticated`, `rateExceeded` or `shareUnavailable`.
   */
  admit(account: string | undefined, profileName: string, deadlineAtMs: number): Promise<void>;
}

export default Admission;
