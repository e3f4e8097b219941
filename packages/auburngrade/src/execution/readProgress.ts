/** How far a read has come. */
interface ReadProgress {
  member: string | undefined;
  isSent: boolean;
}

export default ReadProgress;
