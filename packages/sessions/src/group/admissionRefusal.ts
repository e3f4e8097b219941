/**
 * Why a statement was refused as `busy`. `forecast`: it could not have started in time; `expired`: it did not
 * start in time; `attempts`: no endpoint could run it.
 */
type AdmissionRefusal =
  'forecast' | 'expired' | 'noPrimary' | 'attempts' | 'queueFull' | 'overRate';

export default AdmissionRefusal;
