/** A client account of the load and the rate at which it sends. */
interface LoadAccount {
  name: string;
  key: string;
  sentPerS: number;
}

export default LoadAccount;
