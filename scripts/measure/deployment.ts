/** One of the users' deployments in small. */
interface Deployment {
  name: string;
  dataCentres: string[];
  vmsPerDataCentre: number;
  connectionBudget: number;
  betweenDataCentresDelayMs: number;
}

export default Deployment;
