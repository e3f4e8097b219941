/** Query for a member's role, fenced term, log term and log position. */
const MEMBER_STATUS_SQL =
  'SELECT role, fenced_term, log_term, position FROM auburngrade_member_status()';

export default MEMBER_STATUS_SQL;
