import type { Command } from '@oclif/core';
import ConfigCheckCommand from './configCheckCommand';
import createDataCentreCommand from './createDataCentreCommand';
import createDocumentDeleteCommand from './createDocumentDeleteCommand';
import createDocumentListCommand from './createDocumentListCommand';
import createDocumentPutCommand from './createDocumentPutCommand';
import createDocumentShowCommand from './createDocumentShowCommand';
import DataCentreShowCommand from './dataCentreShowCommand';
import EndpointDrainCommand from './endpointDrainCommand';
import EndpointJoinCommand from './endpointJoinCommand';
import ExplainCommand from './explainCommand';
import KeyIssueCommand from './keyIssueCommand';
import KeyListCommand from './keyListCommand';
import KeyWithdrawCommand from './keyWithdrawCommand';
import QueryCommand from './queryCommand';
import ReportCommand from './reportCommand';
import RunCommand from './runCommand';
import StatusCommand from './statusCommand';

type CommandClass = (new (...args: never[]) => Command) & typeof Command;

const documentCommands = (kind: string): Record<string, CommandClass> => ({
  [`${kind} put`]: createDocumentPutCommand(kind),
  [`${kind} delete`]: createDocumentDeleteCommand(kind),
  [`${kind} list`]: createDocumentListCommand(kind),
  [`${kind} show`]: createDocumentShowCommand(kind),
});

/** Registers each command under its words. */
const commandRegistry: Record<string, CommandClass> = {
  run: RunCommand,
  ...documentCommands('profile'),
  ...documentCommands('account'),
  ...documentCommands('group'),
  'key issue': KeyIssueCommand,
  'key withdraw': KeyWithdrawCommand,
  'key list': KeyListCommand,
  'endpoint join': EndpointJoinCommand,
  'endpoint drain': EndpointDrainCommand,
  'data-centre evacuate': createDataCentreCommand(
    'evacuated',
    'Evacuate a data centre: its endpoints get no statements until it is restored.',
  ),
  'data-centre restore': createDataCentreCommand(
    'inService',
    'Put a data centre back into service.',
  ),
  'data-centre list': createDocumentListCommand('dataCentre', 'data centre with a document'),
  'data-centre show': DataCentreShowCommand,
  status: StatusCommand,
  query: QueryCommand,
  'config check': ConfigCheckCommand,
  report: ReportCommand,
  explain: ExplainCommand,
};

export default commandRegistry;
