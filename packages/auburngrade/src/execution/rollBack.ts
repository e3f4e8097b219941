import type { EndpointConnection } from '@auburngrade/endpoint';

const ROLLBACK_TIMEOUT_MS = 1_000;

/** Rolls back the open transaction of a connection if it is still usable; ignores errors. */
const rollBack = async (connection: EndpointConnection): Promise<void> => {
  if (connection.isUsable()) {
    await connection.runScript('ROLLBACK', ROLLBACK_TIMEOUT_MS).catch(() => {});
  }
};

export default rollBack;
