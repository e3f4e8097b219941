import { setFlagsFromString } from 'node:v8';
import type Settings from '../settings/settings';

/** The old generation is collected once it has grown by this much since its last collection. */
const HEAP_GROWING_PERCENT = 20;

/**
 * Keeps the heap near its live size with V8 flags that take effect at run time. Called
 * once the daemon has started, so that the young generation stays at the size it has then.
 */
const limitHeap = ({ heap }: Settings): void => {
  if (heap.mode === 'default') return;
  setFlagsFromString(`--heap-growing-percent=${HEAP_GROWING_PERCENT}`);
  setFlagsFromString('--semi-space-growth-factor=1');
};

export default limitHeap;
