/** Exit codes that tell usage errors, refusals and failures apart. */
const exitCodes = { ok: 0, failure: 1, usage: 2, refused: 3 } as const;

export default exitCodes;
