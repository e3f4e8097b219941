import type Refusal from './refusal';

/** Error that carries a Refusal, for throwing and promise rejections. */
class RefusalError extends Error {
  readonly refusal: Refusal;

  constructor(refusal: Refusal) {
    super(`${refusal.code}: ${refusal.message}`);
    this.name = 'RefusalError';
    this.refusal = refusal;
  }
}

export default RefusalError;
