import type createPrimaryManager from './createPrimaryManager';

type PrimaryManager = ReturnType<typeof createPrimaryManager>;

export default PrimaryManager;
