import { setTimeout } from 'node:timers';

const sleep = (durationMs) =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

export default sleep;
