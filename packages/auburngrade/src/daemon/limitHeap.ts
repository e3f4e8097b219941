import { setFlagsFromString } from 'node:v8';
import type Settings from '../settings/settings';

/** The old generation is collected once it has grown by this much since the last time. */
const GROWING_PERCENT = 20;

/**
 * Keeps the heap of a VM near what is in use, by flags that the engine reads while it runs.
 * Called once the daemon has started: the young generation then keeps the size that it has.
 */
const limitHeap = ({ heap }: Settings): void => {
  if (heap.mode === 'default') return;
  setFlagsFromString(`--heap-growing-percent=${GROWING_PERCENT}`);
  setFlagsFromString('--semi-space-growth-factor=1');
};

export default limitHeap;
