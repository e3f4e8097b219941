interface Ports {
  callerPort: number;
  vmPort: number;
  operatorPort: number;
  httpPort: number;
}

interface PortClash {
  path: string;
  message: string;
}

const PORT_NAMES = ['callerPort', 'vmPort', 'operatorPort', 'httpPort'] as const;

/** Finds ports that clash with one named before them. */
const findPortClashes = (ports: Ports): PortClash[] =>
  PORT_NAMES.flatMap((name, index) => {
    const earlier = PORT_NAMES.slice(0, index).find((other) => ports[other] === ports[name]);
    return earlier === undefined
      ? []
      : [{ path: name, message: `clashes with ${earlier}, which is also ${ports[name]}` }];
  });

export default findPortClashes;
