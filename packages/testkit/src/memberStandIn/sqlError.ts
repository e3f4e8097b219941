/** An error that a stand-in member reports with PostgreSQL's five-character code. */
class SqlError extends Error {
  constructor(
    readonly sqlState: string,
    message: string,
  ) {
    super(message);
    this.name = 'SqlError';
  }
}

export default SqlError;
