import type MemberConnection from '../seams/memberConnection';
import MemberConnectionError from '../seams/memberConnectionError';

interface ConnectionOpeningsOptions {
  /** Called when an opening that nobody waits for any more has ended. */
  onChange(): void;
  createClosedError(): MemberConnectionError;
}

/** Counts the connections that are being opened, and abandons them when all connections are closed. */
const createConnectionOpenings = ({ onChange, createClosedError }: ConnectionOpeningsOptions) => {
  let openCount = 0;
  /** Identifies the last closing of all connections. */
  let lastAbandoned = {};
  /** Each fails an opening that is under way. */
  const abandonOpenings = new Set<() => void>();

  /** Counts an opening that nobody waits for, and closes its connection if it still succeeds. */
  const closeWhenOpened = async (opening: Promise<MemberConnection>): Promise<void> => {
    openCount += 1;
    try {
      (await opening).close();
    } catch {
      // It was not opened, as is wanted.
    }
    openCount -= 1;
    onChange();
  };

  /** Waits for an opening, but not beyond the next closing of all connections. */
  const waitUnlessAllClosed = async (
    opening: Promise<MemberConnection>,
  ): Promise<MemberConnection> => {
    const hooks = { abandon: (): void => undefined };
    const abandoned = new Promise<never>((_resolve, reject) => {
      hooks.abandon = () => {
        closeWhenOpened(opening);
        reject(createClosedError());
      };
    });
    abandonOpenings.add(hooks.abandon);
    try {
      return await Promise.race([opening, abandoned]);
    } finally {
      abandonOpenings.delete(hooks.abandon);
    }
  };

  return {
    /** How many connections are being opened. */
    count: (): number => openCount,
    /**
     * Waits for an opening, and takes its connection in the same step, so that no closing comes between.
     * @throws MemberConnectionError when the opening fails, or all connections are closed meanwhile
     */
    run: async <Taken>(
      open: () => Promise<MemberConnection>,
      take: (opened: MemberConnection) => Taken,
    ): Promise<Taken> => {
      openCount += 1;
      const abandonedBefore = lastAbandoned;
      try {
        const opened = await waitUnlessAllClosed(open());
        if (lastAbandoned === abandonedBefore) return take(opened);
        opened.close();
        throw createClosedError();
      } finally {
        openCount -= 1;
      }
    },
    /** Fails all openings that are under way. */
    abandonAll: (): void => {
      lastAbandoned = {};
      abandonOpenings.forEach((abandon) => abandon());
    },
  };
};

export default createConnectionOpenings;
