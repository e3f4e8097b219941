import { setInterval, setTimeout } from 'node:timers';
import startMember from './startMember.mjs';

const REPLICATION_DELAY_MS = 8;
const PROMOTE_MS = 300;
const HEARTBEAT_MS = 1_200;

/** A service: its members, who leads, replication between them, and their entries in the store. */
const startService = async ({ name, zones, syncReplicas, record, readMs, commitTimeoutMs }) => {
  const members = new Map();
  const entries = new Map();
  /** Rows of items that the members held before the system was put in front of them. */
  const loadedRows = new Map();
  /** What the members ran, in order. */
  const runs = [];
  const service = {
    name,
    members,
    loadedRows,
    runs,
    platform: undefined,
    onPromoted: () => undefined,
  };
  let primary;
  let term = 1;

  const addEntry = (member, zone, role) =>
    entries.set(member.id, {
      Service: name,
      Address: member.address,
      Zone: zone,
      Version: 'v1',
      Slots: 3,
      State: 'ready',
      WarmupLeftMs: 0,
      DbRole: role,
      SeqNo: 1,
      born: Date.now(),
    });
  const publish = (id) => {
    const entry = entries.get(id);
    if (!entry || !members.get(id)?.isAlive) return;
    entry.SeqNo += 1;
    entry.DbRole = service.isPrimary(id) ? 'primary' : 'replica';
    service.platform?.put(`servers/${id}`, entry);
  };

  service.isPrimary = (id) => primary === id;
  /** A replica receives what it lacks from the present primary, some ms later. */
  service.replicate = () => {
    const source = primary;
    setTimeout(() => {
      const leader = members.get(source);
      if (source !== primary || !leader?.isAlive) return;
      members.forEach((member) => {
        if (member === leader || !member.isAlive || member.isDeaf) return;
        const common = member.log.findIndex((entry, index) => entry !== leader.log[index]);
        if (common >= 0) member.log.splice(common);
        member.log.push(...leader.log.slice(member.log.length));
      });
    }, REPLICATION_DELAY_MS);
  };
  service.isReceived = (entry, number) =>
    [...members.values()].filter(
      (member) => member.id !== primary && member.log[number - 1] === entry,
    ).length >= syncReplicas;
  service.demote = (id, demotedTerm) => {
    if (primary === id && members.get(id).term < demotedTerm) primary = undefined;
  };
  /** Answers `POST /failover`; the member leads the next term with what it has received. */
  service.promote = (id) => {
    const member = members.get(id);
    if (!member?.isAlive) return 409;
    if (primary === id) return 200;
    setTimeout(() => {
      if (!member.isAlive) return;
      term += 1;
      const old = primary;
      primary = id;
      member.term = term;
      record('member.promoted', { member: id, term, position: member.position().join('.') });
      service.onPromoted(member, old);
      service.replicate();
      members.forEach((_member, memberId) => publish(memberId));
    }, PROMOTE_MS);
    return 200;
  };
  service.start = async (id, zone, options = {}) => {
    const member = await startMember({
      id,
      service,
      record,
      readMs,
      commitTimeoutMs,
      port: options.port,
    });
    member.log.push(...(options.log ?? []));
    members.set(id, member);
    addEntry(member, zone, 'replica');
    publish(id);
    return member;
  };
  service.drain = (id) => {
    entries.get(id).State = 'draining';
    publish(id);
    record('member.draining', { member: id });
  };
  /** The process of a member ends; its entry goes when it has been silent for three intervals. */
  service.crash = (id) => {
    record('member.crashed', { member: id, position: members.get(id).position().join('.') });
    members.get(id).stop();
    setTimeout(() => service.platform.remove(`servers/${id}`), HEARTBEAT_MS * 3);
  };
  /** A member that was to leave ends; a new one takes its address and its log. */
  service.replace = async (id, nextId) => {
    const { log, port } = members.get(id);
    const { Zone } = entries.get(id);
    members.get(id).stop();
    members.delete(id);
    entries.delete(id);
    service.platform.remove(`servers/${id}`);
    record('member.replaced', { member: id, by: nextId });
    await service.start(nextId, Zone, { log, port });
  };
  /** Whether the members receive nothing: they lag, or are cut off from the primary. */
  service.setDeaf = (ids, isDeaf) => {
    ids.forEach((id) => {
      members.get(id).isDeaf = isDeaf;
    });
    record('members.deaf', { members: ids, isDeaf });
    if (!isDeaf) service.replicate();
  };
  service.register = (platform) => {
    service.platform = platform;
    members.forEach((_member, id) => publish(id));
    setInterval(() => members.forEach((_member, id) => publish(id)), HEARTBEAT_MS).unref();
  };

  for (const [index, zone] of zones.entries()) await service.start(`i-${index + 1}`, zone);
  primary = 'i-1';
  members.get(primary).term = term;
  return service;
};

export default startService;
