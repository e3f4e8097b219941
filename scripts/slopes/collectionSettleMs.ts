/**
 * After a start the engine collects all garbage in two or three rounds, 8 s apart. Each costs
 * some 100 ms of processor time and about 8 KB of wake-ups between its threads, which count as
 * bytes. Figures of idle VMs are taken after that.
 */
const COLLECTION_SETTLE_MS = 25_000;

export default COLLECTION_SETTLE_MS;
