/** A client account of the measurement with its limit. */
interface MeasuredAccount {
  name: string;
  key: string;
  ratePerS: number;
  burst: number;
}

export default MeasuredAccount;
