/** Calls back with each line of a socket's input that CR LF ends, without that end. */
const readLines = (socket, onLine) => {
  let held = [];
  let rest = '';
  socket.setEncoding('utf8');
  socket.on('data', (chunk) => {
    if (!chunk.includes('\n')) {
      held.push(chunk);
      return;
    }
    const lines = (rest + held.join('') + chunk).split('\r\n');
    held = [];
    rest = lines.pop();
    lines.forEach(onLine);
  });
};

export default readLines;
