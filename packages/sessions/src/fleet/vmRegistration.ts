/** What a VM writes about itself into the platform's store. */
interface VmRegistration {
  address: string;
  dataCentre: string;
  incarnation: string;
}

export default VmRegistration;
