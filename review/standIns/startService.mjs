import { setInterval, setTimeout } from 'node:timers';
import startMember from './startMember.mjs';

const REPLICATION_DELAY_MS = 8;
const PROMOTE_MS = 300;
const HEARTBEAT_MS = 1_200;
const DEMOTE_MS = 1_000;

/** A service: its members, who leads, replication between them, and their entries in the store. */
const startService = async (options) => {
  const { name, zones, syncReplicas, record, readMs, commitTimeoutMs } = options;
  /** Whether two zones reach each other. */
  const areJoined = options.areJoined ?? (() => true);
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
    onRun: () => undefined,
  };
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
    if (!areJoined(entry.Zone, options.platformZone ?? entry.Zone)) return;
    const { farAddress } = members.get(id);
    const isFar = (side) => farAddress && options.sideOfZone(entry.Zone) !== side;
    service.platform?.put(`servers/${id}`, (side) => ({
      ...entry,
      Address: isFar(side) ? farAddress : entry.Address,
    }));
  };

  const areReachable = (a, b) => areJoined(entries.get(a.id).Zone, entries.get(b.id).Zone);
  service.isPrimary = (id) => members.get(id)?.isLeader === true;
  service.find = (id) => members.get(id);
  /** A replica receives what it lacks from the primary of the highest term that it knows, some ms later. */
  service.replicate = () => {
    setTimeout(() => {
      const leaders = [...members.values()].filter(({ isAlive, isLeader }) => isAlive && isLeader);
      leaders.forEach((leader) => {
        members.forEach((replica) => {
          const member = replica;
          if (member.isLeader || !member.isAlive || member.isDeaf) return;
          if (member.term > leader.term || !areReachable(leader, member)) return;
          member.term = leader.term;
          const common = member.log.findIndex((entry, index) => entry !== leader.log[index]);
          if (common >= 0) member.log.splice(common);
          member.log.push(...leader.log.slice(member.log.length));
        });
      });
    }, REPLICATION_DELAY_MS);
  };
  service.isReceived = (leaderId, entry, number) =>
    [...members.values()].filter(({ id, log }) => id !== leaderId && log[number - 1] === entry)
      .length >= syncReplicas;
  service.demote = (id, demotedTerm) => {
    const member = members.get(id);
    if (!member?.isLeader || member.term >= demotedTerm) return;
    member.isLeader = false;
    record('member.demoted', { member: id });
    publish(id);
    service.replicate();
  };
  /** Former primaries lead on until a second after they reach the new one. */
  service.demoteReachable = () => {
    const newest = [...members.values()].reduce((a, b) => (b.isLeader && b.term > a.term ? b : a));
    members.forEach((member) => {
      if (member !== newest && member.isLeader && areReachable(member, newest))
        setTimeout(() => service.demote(member.id, newest.term), DEMOTE_MS);
    });
  };
  /** Answers `POST /failover`; the member leads the next term with what it has received. */
  service.promote = (id) => {
    const member = members.get(id);
    if (!member?.isAlive) return 409;
    if (member.isLeader && member.term === term) return 200;
    setTimeout(() => {
      if (!member.isAlive) return;
      term += 1;
      member.isLeader = true;
      member.term = term;
      record('member.promoted', { member: id, term, position: member.position().join('.') });
      service.onPromoted(member);
      service.demoteReachable();
      service.replicate();
      members.forEach((_member, memberId) => publish(memberId));
    }, PROMOTE_MS);
    return 200;
  };
  service.start = async (id, zone, { port, log = [] } = {}) => {
    const member = await startMember({
      id,
      service,
      record,
      readMs,
      commitTimeoutMs,
      port,
    });
    member.log.push(...log);
    member.term = term;
    member.farAddress = await options.startProxy?.(member.port);
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
  /** Entries of members that don't reach the store go after three intervals. */
  service.expireUnreached = () =>
    setTimeout(() => {
      entries.forEach(({ Zone }, id) => {
        if (!areJoined(Zone, options.platformZone)) service.platform.remove(`servers/${id}`);
      });
    }, HEARTBEAT_MS * 3);
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
  members.get('i-1').isLeader = true;
  return service;
};

export default startService;
