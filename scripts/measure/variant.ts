/** How the VMs are set: the product as it is, or a simpler way to compare with. */
interface Variant {
  name: 'auburngrade' | 'baseline';
  freshness: { kind: string };
  vmSettings: Record<string, unknown>;
}

export default Variant;
