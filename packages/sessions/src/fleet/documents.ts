import type createDocuments from './createDocuments';

type Documents = ReturnType<typeof createDocuments>;

export default Documents;
