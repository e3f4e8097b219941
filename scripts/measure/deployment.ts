/** One of the users' deployments in small. */
interface Deployment {
  name: string;
  dataCentres: string[];
  vmsPerDataCentre: number;
  connectionBudget: number;
  betweenDataCentresDelayMs: number;
  /** One-way delay in milliseconds between a client and a VM. */
  clientDelayMs: number;
}

export default Deployment;
