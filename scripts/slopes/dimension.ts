/** One quantity that grows while the rest stays; `measure` runs one size of it. */
interface Dimension {
  name: string;
  /** What one step of the size stands for. */
  unit: string;
  sizes: number[];
  measure(size: number): Promise<Record<string, number>>;
}

export default Dimension;
