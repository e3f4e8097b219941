/** How far a read has come. */
interface ReadAttempt {
  member: string | undefined;
  isSent: boolean;
}

export default ReadAttempt;
