export { default as OperatorHandler } from './operatorHandler';
export { default as createOperatorService } from './createOperatorService';
export { default as createOperatorClient } from './createOperatorClient';
export * from './generated/auburngrade/operator/v1/operator';
