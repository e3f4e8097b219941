import type Deployment from './deployment';

/** The deployments that are measured. */
const deployments: Deployment[] = [
  {
    name: 'brazos',
    dataCentres: ['waco', 'temple', 'bryan', 'belton'],
    vmsPerDataCentre: 2,
    connectionBudget: 20,
    betweenDataCentresDelayMs: 0.5,
    clientDelayMs: 3,
  },
  {
    name: 'kettleby',
    dataCentres: ['northmere-a', 'northmere-b', 'northmere-c'],
    vmsPerDataCentre: 2,
    connectionBudget: 40,
    betweenDataCentresDelayMs: 1.5,
    clientDelayMs: 1,
  },
];

export default deployments;
