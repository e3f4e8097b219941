import { Writer } from 'pg-protocol/dist/buffer-writer';
import type MemberResult from './memberResult';
import type SqlError from './sqlError';

const TEXT_TYPE_ID = 25;
const CODES = {
  rowDescription: 0x54,
  dataRow: 0x44,
  commandComplete: 0x43,
  error: 0x45,
  ready: 0x5a,
  parseComplete: 0x31,
  bindComplete: 0x32,
  closeComplete: 0x33,
} as const;
const STATUS_LETTERS = { idle: 'I', transaction: 'T', error: 'E' } as const;

/** Collects the messages of one reply so that they leave in one write. */
const createReplyWriter = () => {
  let parts: Buffer[] = [];
  const writer = new Writer();
  const add = (code: number): void => {
    parts.push(Buffer.from(writer.flush(code)));
  };

  const addColumns = (columns: string[]): void => {
    writer.addInt16(columns.length);
    columns.forEach((column) => {
      writer.addCString(column).addInt32(0).addInt16(0).addInt32(TEXT_TYPE_ID);
      writer.addInt16(-1).addInt32(-1).addInt16(0);
    });
    add(CODES.rowDescription);
  };

  const addRow = (row: (string | null)[]): void => {
    writer.addInt16(row.length);
    row.forEach((value) => {
      if (value === null) writer.addInt32(-1);
      else writer.addInt32(Buffer.byteLength(value)).addString(value);
    });
    add(CODES.dataRow);
  };

  return {
    empty: (code: 'parseComplete' | 'bindComplete' | 'closeComplete'): void => add(CODES[code]),
    result: ({ columns, rows, command }: MemberResult): void => {
      if (columns.length > 0) addColumns(columns);
      rows.forEach(addRow);
      writer.addCString(command);
      add(CODES.commandComplete);
    },
    error: ({ sqlState, message }: SqlError): void => {
      writer.addString('S').addCString('ERROR').addString('V').addCString('ERROR');
      writer.addString('C').addCString(sqlState).addString('M').addCString(message);
      writer.addCString('');
      add(CODES.error);
    },
    ready: (status: keyof typeof STATUS_LETTERS): void => {
      writer.addString(STATUS_LETTERS[status]);
      add(CODES.ready);
    },
    take: (): Buffer => {
      const reply = Buffer.concat(parts);
      parts = [];
      return reply;
    },
  };
};

export default createReplyWriter;
