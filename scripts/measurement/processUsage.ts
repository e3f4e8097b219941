/** What a process has used since it started, and the memory it holds now. */
interface ProcessUsage {
  cpuMs: number;
  residentMb: number;
  /** Bytes read and written by system calls: sockets, and a little for files and pipes. */
  ioBytes: number;
}

export default ProcessUsage;
