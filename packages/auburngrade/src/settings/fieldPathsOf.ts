import describeSettings from './describeSettings';

/** Paths of all fields that settings may have. */
const fieldPathsOf = (): string[] => describeSettings().map(({ path }) => path);

export default fieldPathsOf;
