import type createQuotaConsumer from './createQuotaConsumer';

/** A VM's consumer of an account's quota units. */
type QuotaConsumer = ReturnType<typeof createQuotaConsumer>;

export default QuotaConsumer;
