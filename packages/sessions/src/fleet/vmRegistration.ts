/** Entry that each VM keeps in the metadata store under its own name, bound to a store lease. */
interface VmRegistration {
  /** `host:port` of the VM's link server, for the streams of other VMs. */
  address: string;
  dataCentre: string;
  /** Identifies the process; differs after each restart. */
  incarnation: string;
}

export default VmRegistration;
