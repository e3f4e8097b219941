import skipComments from './skipComments';

const CONTROL_WORDS =
  /^(begin|start|commit|end|rollback|abort|prepare|execute|deallocate|discard|set|reset|listen|unlisten|notify|load|savepoint|release|copy|declare)\b/i;

/**
 * Whether a statement would change the state of its connection beyond its own transaction, or
 * end a transaction that the proxy began: such statements would mix sessions that share a
 * connection.
 */
const isSessionControl = (sql: string): boolean => CONTROL_WORDS.test(skipComments(sql));

export default isSessionControl;
