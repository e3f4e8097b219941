import { setTimeout as sleep } from 'node:timers/promises';
import type Change from './change';
import type Member from './member';
import type MemberResult from './memberResult';
import SqlError from './sqlError';

type Values = (string | null)[];
type Handler = (values: Values) => Promise<MemberResult> | MemberResult;

const ARGUMENT = String.raw`(\$\d+|'(?:[^']|'')*'|\d+|NULL)`;
const UNIQUE_STATE = '23505';
const ABORTED_STATE = '25P02';
const SYNTAX_STATE = '42601';
const READ_ONLY_STATE = '25006';
const CLOSED_STATE = '08006';
const MS_PER_S = 1000;

const done = (command: string): MemberResult => ({ columns: [], rows: [], command });

const pattern = (sql: string): RegExp =>
  new RegExp(
    `^${sql
      .replace(/[()*+]/g, String.raw`\$&`)
      .replaceAll('?', ARGUMENT)
      .replaceAll(' ', String.raw`\s+`)}$`,
    'i',
  );

const literal = (argument: string, parameters: Values): string | null => {
  if (argument.startsWith('$')) return parameters[Number(argument.slice(1)) - 1] ?? null;
  if (argument.startsWith("'")) return argument.slice(1, -1).replaceAll("''", "'");
  return argument.toUpperCase() === 'NULL' ? null : argument;
};

/** One client session of a stand-in member: a small set of statements and transactions. */
const createMemberSession = (member: Member) => {
  const owner = {};
  let status: 'idle' | 'transaction' | 'error' = 'idle';
  let writable = false;
  let changes: Change[] = [];
  let isClosed = false;

  const rowOf = (table: string, key: string): Record<string, string | null> | undefined =>
    changes.findLast((change) => change.table === table && change.key === key)?.row ??
    member.log.row(table, key);

  const finish = (): void => {
    changes = [];
    status = 'idle';
    writable = false;
    member.locks.releaseAll(owner);
  };

  const begin = (mode: boolean): MemberResult => {
    status = 'transaction';
    writable = mode;
    return done('BEGIN');
  };

  const commit = (): MemberResult => {
    if (status === 'error') {
      finish();
      return done('ROLLBACK');
    }
    try {
      if (changes.length > 0) {
        member.checkWritable();
        member.log.commit(member.primaryTerm(), changes);
      }
    } finally {
      finish();
    }
    return done('COMMIT');
  };

  const write = async (
    table: string,
    key: string | null,
    update: (row: Record<string, string | null> | undefined) => Record<string, string | null>,
  ): Promise<void> => {
    if (status === 'idle' || !writable) {
      throw new SqlError(READ_ONLY_STATE, 'cannot write in a read-only transaction');
    }
    member.checkWritable();
    await member.locks.lock(`${table}/${key}`, owner);
    if (isClosed) {
      member.locks.releaseAll(owner);
      throw new SqlError(CLOSED_STATE, 'the session was closed while it waited for a lock');
    }
    const row = update(rowOf(table, key ?? ''));
    changes.push({ table, key: key ?? '', row });
  };

  const selectItem = ([key]: Values): MemberResult => {
    const row = rowOf('items', key ?? '');
    return {
      columns: ['value'],
      rows: row ? [[row.value ?? null]] : [],
      command: `SELECT ${row ? 1 : 0}`,
    };
  };

  const upsertItem: Handler = async ([key, value]) => {
    await write('items', key ?? null, () => ({ value: value ?? null }));
    return done('INSERT 0 1');
  };

  const addToItem: Handler = async ([amount, key]) => {
    await write('items', key ?? null, (row) => ({
      value: String(Number(row?.value ?? 0) + Number(amount)),
    }));
    return done('UPDATE 1');
  };

  const insertRequest: Handler = async ([id, state, fingerprint]) => {
    await write('auburngrade_request', id ?? null, (row) => {
      if (row) throw new SqlError(UNIQUE_STATE, 'duplicate key value: auburngrade_request');
      return { state: state ?? null, result: null, fingerprint: fingerprint ?? null };
    });
    return done('INSERT 0 1');
  };

  const updateRequest: Handler = async ([result, id]) => {
    await write('auburngrade_request', id ?? null, (row) => ({
      state: row?.state ?? null,
      fingerprint: row?.fingerprint ?? null,
      result: result ?? null,
    }));
    return done('UPDATE 1');
  };

  const selectRequest: Handler = ([id]) => {
    const row = rowOf('auburngrade_request', id ?? '');
    return {
      columns: ['state', 'result', 'fingerprint'],
      rows: row ? [[row.state ?? null, row.result ?? null, row.fingerprint ?? null]] : [],
      command: `SELECT ${row ? 1 : 0}`,
    };
  };

  const selectStatus: Handler = () => {
    const { role, fencedTerm, logTerm, position } = member.status();
    return {
      columns: ['role', 'fenced_term', 'log_term', 'position'],
      rows: [[role, String(fencedTerm), String(logTerm), String(position)]],
      command: 'SELECT 1',
    };
  };

  const control =
    (run: (values: Values) => void): Handler =>
    (values) => {
      run(values);
      return selectStatus([]);
    };

  const handlers: [RegExp, Handler][] = [
    [pattern('BEGIN READ WRITE'), () => begin(true)],
    [pattern('BEGIN READ ONLY'), () => begin(false)],
    [pattern('BEGIN'), () => begin(false)],
    [pattern('COMMIT'), commit],
    [
      pattern('ROLLBACK'),
      () => {
        finish();
        return done('ROLLBACK');
      },
    ],
    [pattern('SELECT value FROM items WHERE key = ?'), selectItem],
    [
      pattern(
        'INSERT INTO items (key, value) VALUES (?, ?) ON CONFLICT (key) DO UPDATE SET value = EXCLUDED.value',
      ),
      upsertItem,
    ],
    [pattern('UPDATE items SET value = value + ? WHERE key = ?'), addToItem],
    [
      pattern('SELECT pg_sleep(?)'),
      async ([seconds]) => {
        await sleep(Number(seconds) * MS_PER_S);
        return { columns: ['pg_sleep'], rows: [['']], command: 'SELECT 1' };
      },
    ],
    [pattern('INSERT INTO auburngrade_request (id, state) VALUES (?, ?)'), insertRequest],
    [
      pattern('INSERT INTO auburngrade_request (id, state, fingerprint) VALUES (?, ?, ?)'),
      insertRequest,
    ],
    [pattern('UPDATE auburngrade_request SET result = ? WHERE id = ?'), updateRequest],
    [
      pattern('SELECT state, result, fingerprint FROM auburngrade_request WHERE id = ?'),
      selectRequest,
    ],
    [
      pattern('SELECT role, fenced_term, log_term, position FROM auburngrade_member_status()'),
      selectStatus,
    ],
    [pattern('SELECT auburngrade_fence(?)'), control(([term]) => member.fence(Number(term)))],
    [pattern('SELECT auburngrade_promote(?)'), control(([term]) => member.promote(Number(term)))],
    [
      pattern('SELECT auburngrade_follow(?, ?, ?)'),
      control(([term, host, port]) => member.follow(Number(term), host ?? '', Number(port))),
    ],
  ];

  const dispatch = async (sql: string, parameters: Values): Promise<MemberResult> => {
    const term = /^\/\*term=(\d+)\*\/\s*/.exec(sql);
    const text = sql.slice(term?.[0].length ?? 0).trim();
    if (status === 'error' && !/^(ROLLBACK|COMMIT)$/i.test(text)) {
      throw new SqlError(ABORTED_STATE, 'current transaction is aborted');
    }
    member.checkTerm(term ? Number(term[1]) : undefined);
    for (const [expression, handler] of handlers) {
      const match = expression.exec(text);
      if (match) return handler(match.slice(1).map((argument) => literal(argument, parameters)));
    }
    throw new SqlError(SYNTAX_STATE, `unsupported statement: ${text}`);
  };

  return {
    status: () => status,
    /** Runs one statement; an error inside a transaction aborts it. */
    run: async (sql: string, parameters: Values): Promise<MemberResult> => {
      if (member.tuning.statementDelayMs > 0) await sleep(member.tuning.statementDelayMs);
      try {
        return await dispatch(sql, parameters);
      } catch (error) {
        if (status !== 'idle') status = 'error';
        throw error;
      }
    },
    /** Rolls back what the session left open. */
    close: (): void => {
      isClosed = true;
      finish();
    },
  };
};

export default createMemberSession;
