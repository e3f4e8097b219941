import skipComments from './skipComments';

const SESSION_CONTROL_KEYWORDS =
  /^(begin|start|commit|end|rollback|abort|prepare|execute|deallocate|discard|set|reset|listen|unlisten|notify|load|savepoint|release|copy|declare)\b/i;

/**
 * Whether a statement could change connection state beyond its own transaction, or end a
 * transaction begun by the proxy. Such statements would affect other sessions that share the
 * connection.
 */
const isSessionControl = (sql: string): boolean => SESSION_CONTROL_KEYWORDS.test(skipComments(sql));

export default isSessionControl;
