import type createDataCentres from './createDataCentres';

/** Which data centres are evacuated, as a VM knows it. */
type DataCentres = ReturnType<typeof createDataCentres>;

export default DataCentres;
