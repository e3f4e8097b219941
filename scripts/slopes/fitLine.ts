/** Fits y = base + slope * x by least squares. */
const fitLine = (points: { x: number; y: number }[]): { base: number; slope: number } => {
  const count = points.length;
  const meanX = points.reduce((sum, { x }) => sum + x, 0) / count;
  const meanY = points.reduce((sum, { y }) => sum + y, 0) / count;
  const spread = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  const shared = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const slope = spread === 0 ? 0 : shared / spread;
  return { base: meanY - slope * meanX, slope };
};

export default fitLine;
