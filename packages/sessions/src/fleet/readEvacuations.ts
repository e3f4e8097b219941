const isName = (value: unknown): value is string => typeof value === 'string' && value !== '';

/** Parses the document of evacuated data centres; undefined when it is not valid JSON or has another shape. */
const readEvacuations = (value: string): readonly string[] | undefined => {
  try {
    const { dataCentres } = JSON.parse(value) as Record<string, unknown>;
    if (!Array.isArray(dataCentres) || !dataCentres.every(isName)) return undefined;
    return [...new Set(dataCentres)].sort();
  } catch {
    return undefined;
  }
};

export default readEvacuations;
