import type { EndpointConnection } from '@auburngrade/endpoint';

const ROLLBACK_TIMEOUT_MS = 1_000;

/** Ends the open transaction of a connection that can still be used. */
const rollBack = async (connection: EndpointConnection): Promise<void> => {
  if (connection.isUsable()) {
    await connection.script('ROLLBACK', ROLLBACK_TIMEOUT_MS).catch(() => {});
  }
};

export default rollBack;
