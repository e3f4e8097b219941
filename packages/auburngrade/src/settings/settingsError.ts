/** Settings were refused; each problem starts with the path of its field. */
class SettingsError extends Error {
  readonly problems: readonly string[];

  constructor(problems: readonly string[]) {
    super(problems.join('\n'));
    this.name = 'SettingsError';
    this.problems = problems;
  }
}

export default SettingsError;
