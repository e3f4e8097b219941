import type createQuotaAllocator from './createQuotaAllocator';

/** The allocator of one account's quota units. */
type QuotaAllocator = ReturnType<typeof createQuotaAllocator>;

export default QuotaAllocator;
