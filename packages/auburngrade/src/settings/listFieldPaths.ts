import describeSettings from './describeSettings';

/** Paths of all fields that settings may have. */
const listFieldPaths = (): string[] => describeSettings().map(({ path }) => path);

export default listFieldPaths;
