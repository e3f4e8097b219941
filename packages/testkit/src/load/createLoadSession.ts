/** One session of the load: its token, and the last value that was acknowledged to it. */
const createLoadSession = (item: string, group: string) => {
  let token = '';
  let acknowledged = 0;
  let next = 1;
  let isWriting = false;

  return {
    item,
    group,
    token: () => token,
    acknowledged: () => acknowledged,
    /** Takes the value of the next write; undefined while another write is under way. */
    beginWrite: (): number | undefined => {
      if (isWriting) return undefined;
      isWriting = true;
      next += 1;
      return next - 1;
    },
    endWrite: (value: number, isRan: boolean, newToken: string): void => {
      isWriting = false;
      if (!isRan) return;
      acknowledged = value;
      token = newToken;
    },
  };
};

export default createLoadSession;
