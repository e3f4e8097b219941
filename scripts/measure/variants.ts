import type Variant from './variant';

/** The product, and a baseline as far as settings allow: reads only from primaries, equal parts of each rate. */
const variants: { product: Variant; baseline: Variant } = {
  product: { name: 'auburngrade', freshness: { kind: 'session' }, vmSettings: {} },
  baseline: {
    name: 'baseline',
    freshness: { kind: 'primary' },
    vmSettings: { admission: { mode: 'equalParts' } },
  },
};

export default variants;
