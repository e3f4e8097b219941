import type { Document } from '@auburngrade/operator';
import RefusedError from './refusedError';
import type withOperatorClient from './withOperatorClient';

type OperatorClient = Parameters<Parameters<typeof withOperatorClient>[1]>[0];

/** Reads one document as the VM knows it. @throws RefusedError when there is none. */
const readDocument = async (
  client: OperatorClient,
  kind: string,
  name: string,
): Promise<Document> => {
  const { documents } = await client.list({ kind });
  const found = documents.find((document) => document.name === name);
  if (!found) throw new RefusedError(`no ${kind} ${name}`);
  return found;
};

export default readDocument;
