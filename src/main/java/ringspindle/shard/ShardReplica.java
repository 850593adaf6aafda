package ringspindle.shard;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Predicate;
import ringspindle.protocol.Message;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.ReplicaStanding;
import ringspindle.protocol.ShardMessage.LogEntry;
import ringspindle.protocol.ShardMessage.ReplicaRow;
import ringspindle.protocol.ShardMessage.ShardAck;
import ringspindle.protocol.ShardMessage.ShardAppend;
import ringspindle.protocol.ShardMessage.ShardEntry;
import ringspindle.protocol.ShardMessage.ShardPromise;

/**
 * One replica of a shard's log, as follower and, while the assignment says so, as leader. A state machine: each call returns
 * what is to be sent, written and told. Not thread safe.
 *
 * <ul>
 *   <li>A replica follows the highest epoch that it was told of and refuses leaders of lower ones.
 *   <li>It answers only once what it was sent is on disk.
 *   <li>A leader appends to its own log; followers put its entries in place of others of their own that are not committed.
 * </ul>
 *
 * <pre>{@code
 * ShardReplica replica = new ShardReplica(3, me, store, boot, 3);
 * carryOut(replica.assign(assignment, nowMs));
 * carryOut(replica.propose(record, nowMs));
 * }</pre>
 */
public final class ShardReplica {
    /** A disk that has completed nothing for so long, though it should, does not keep up. */
    private static final int DISK_STALLED_MS = 900;

    private static final long NOTHING_OWED = -1;
    /** Round of an answer to a leader of an earlier epoch: its rounds are no rounds of the epoch that the answer names. */
    private static final long NO_ROUND = 0;

    /** An answer that is due once a record is on disk. */
    private record PendingAck(long token, NodeId to, ShardAck ack) {}

    /** An own entry that is being written. */
    private record PendingEntry(long token, long seq) {}

    private final int shard;
    private final NodeId me;
    private final long store;
    private final long boot;
    private final int copiesMin;
    private final ShardLog log = new ShardLog();
    private final Deque<PendingAck> acks = new ArrayDeque<>();
    private final Deque<PendingEntry> writes = new ArrayDeque<>();
    private long promisedEpoch;
    /** Up to which entry this replica's own log is on disk. */
    private long storedSeq;

    private long lastToken;
    private long storedToken;
    /** Since when the disk has owed a write and completed none, {@link #NOTHING_OWED} while it owes none. */
    private long diskOwesSinceMs = NOTHING_OWED;

    private ShardAssignment assignment;
    /** Null while another replica leads. */
    private Leadership leadership;
    /** The last round of the leaderships before; rounds rise over all of them. */
    private long lastRound = NO_ROUND;

    /**
     * A replica that holds nothing.
     *
     * @param store the identity of this node's disk
     * @param boot how often a process has started on it
     * @param copiesMin on how many disks an entry must be to be committed
     */
    public ShardReplica(int shard, NodeId me, long store, long boot, int copiesMin) {
        this.shard = shard;
        this.me = me;
        this.store = store;
        this.boot = boot;
        this.copiesMin = copiesMin;
    }

    /** Takes a record that was found on disk, in the order in which they were written; comes before all else. */
    public void restore(ShardEntry entry) {
        if (entry.seq() > log.committed()) {
            log.append(new LogEntry(entry.epoch(), entry.seq(), entry.record()));
        }
        storedSeq = log.lastSeq();
        promisedEpoch = Math.max(promisedEpoch, entry.epoch());
    }

    /** Takes a promise that was found on disk. */
    public void restore(ShardPromise promise) {
        promisedEpoch = Math.max(promisedEpoch, promise.epoch());
    }

    /** Entries known to be committed by records on disk; call it after the last {@code restore}. */
    public List<LogEntry> restoreCommitted(long seq) {
        return log.commit(Math.min(seq, log.lastSeq()));
    }

    /** The promise of this replica as it stands, for a new file that stands for older ones. */
    public ShardPromise promise() {
        return new ShardPromise(shard, promisedEpoch, log.committed());
    }

    /** True if this replica is the leader of the newest epoch that it knows: records may be proposed. */
    public boolean isLeader() {
        return leadership != null;
    }

    /** True if it holds all that was committed, too: calls may be taken here. */
    public boolean leads() {
        return leadership != null && leadership.isEstablished();
    }

    /** The epoch of the assignment, 0 while none is known. */
    public long epoch() {
        return assignment == null ? 0 : assignment.epoch();
    }

    /** Takes an assignment of the control state; one that is not newer is ignored. */
    public List<ReplicaOutput> assign(ShardAssignment newer, long nowMs) {
        List<ReplicaOutput> out = new ArrayList<>();
        if (newer.epoch() <= epoch()) {
            return out;
        }
        assignment = newer;
        boolean leads = newer.leader().equals(new ShardMember(me, store))
                && newer.leaderBoot() == boot
                && newer.epoch() > promisedEpoch;
        if (!leads) {
            resign(out);
            return out;
        }
        promise(newer.epoch(), out);
        Leadership before = leadership;
        if (before != null) {
            lastRound = before.lastRound();
        }
        leadership = new Leadership(newer, log, copiesMin, lastRound);
        if (before == null) {
            out.add(new ReplicaOutput.Appointed(newer.epoch()));
        } else {
            // the same process leads on: what waits for a commit or a confirmation gets it under the new epoch
            before.unconfirmed().forEach(leadership::confirm);
        }
        goOn(nowMs, out);
        return out;
    }

    private void promise(long epoch, List<ReplicaOutput> out) {
        promisedEpoch = epoch;
        store(promise(), out);
    }

    private long store(Message record, List<ReplicaOutput> out) {
        lastToken++;
        out.add(new ReplicaOutput.Store(record, lastToken));
        return lastToken;
    }

    /** Appends a record; only while {@link #isLeader}. */
    public List<ReplicaOutput> propose(byte[] record, long nowMs) {
        List<ReplicaOutput> out = new ArrayList<>();
        append(new LogEntry(leadership.epoch(), log.lastSeq() + 1, record), out);
        goOn(nowMs, out);
        return out;
    }

    private void append(LogEntry entry, List<ReplicaOutput> out) {
        storedSeq = Math.min(storedSeq, entry.seq() - 1);
        writes.removeIf(write -> write.seq() >= entry.seq());
        log.append(entry);
        long token = store(new ShardEntry(shard, entry.epoch(), entry.seq(), log.committed(), entry.record()), out);
        writes.add(new PendingEntry(token, entry.seq()));
    }

    /** Asks whether all replicas follow this leader still; {@link ReplicaOutput.Confirmed} says so. Only while {@link #isLeader}. */
    public List<ReplicaOutput> confirm(long token, long nowMs) {
        List<ReplicaOutput> out = new ArrayList<>();
        leadership.confirm(token);
        goOn(nowMs, out);
        return out;
    }

    /** All records up to that token last. */
    public List<ReplicaOutput> stored(long token, long nowMs) {
        List<ReplicaOutput> out = new ArrayList<>();
        storedToken = Math.max(storedToken, token);
        diskOwesSinceMs = storedToken < lastToken ? nowMs : NOTHING_OWED;
        while (!writes.isEmpty() && writes.peek().token() <= storedToken) {
            storedSeq = Math.max(storedSeq, writes.poll().seq());
        }
        while (!acks.isEmpty() && acks.peek().token() <= storedToken) {
            PendingAck due = acks.poll();
            out.add(new ReplicaOutput.Send(due.to(), due.ack()));
        }
        goOn(nowMs, out);
        return out;
    }

    /** A leader's entries came. */
    public List<ReplicaOutput> receive(NodeId from, ShardAppend append, long nowMs) {
        List<ReplicaOutput> out = new ArrayList<>();
        if (append.store() != store || leadership != null && append.epoch() == leadership.epoch()) {
            return out;
        }
        if (append.epoch() < promisedEpoch) {
            acknowledge(from, NO_ROUND, false, log.committed(), out);
            return out;
        }
        if (append.epoch() > promisedEpoch) {
            resign(out);
            promise(append.epoch(), out);
        }
        boolean matched =
                append.previousSeq() <= log.committed() || log.epochAt(append.previousSeq()) == append.previousEpoch();
        if (!matched) {
            acknowledge(from, append.round(), false, log.committed(), out);
            return out;
        }
        long last = append.previousSeq();
        for (LogEntry entry : append.entries()) {
            last = entry.seq();
            if (entry.seq() > log.committed() && log.epochAt(entry.seq()) != entry.epoch()) {
                append(entry, out);
            }
        }
        acknowledge(from, append.round(), true, last, out);
        commit(Math.min(append.committed(), last), out);
        return out;
    }

    /** Another leader is there: calls under way here are in doubt. */
    private void resign(List<ReplicaOutput> out) {
        if (leadership != null) {
            out.add(new ReplicaOutput.Deposed(leadership.epoch()));
            lastRound = leadership.lastRound();
            leadership = null;
        }
    }

    private void acknowledge(NodeId to, long round, boolean matched, long seq, List<ReplicaOutput> out) {
        ShardAck ack = new ShardAck(shard, promisedEpoch, store, round, matched, seq);
        if (lastToken <= storedToken) {
            out.add(new ReplicaOutput.Send(to, ack));
        } else {
            acks.add(new PendingAck(lastToken, to, ack));
        }
    }

    private void commit(long seq, List<ReplicaOutput> out) {
        log.commit(seq).forEach(entry -> out.add(new ReplicaOutput.Committed(entry)));
    }

    /** A follower's answer came. */
    public List<ReplicaOutput> receive(NodeId from, ShardAck ack, long nowMs) {
        List<ReplicaOutput> out = new ArrayList<>();
        if (leadership == null) {
            return out;
        }
        if (ack.epoch() > leadership.epoch()) {
            resign(out);
        } else if (ack.epoch() == leadership.epoch()) {
            leadership.onAck(from, ack);
            goOn(nowMs, out);
        }
        return out;
    }

    /** A connection to a node stands anew. */
    public List<ReplicaOutput> connected(NodeId peer, long nowMs) {
        List<ReplicaOutput> out = new ArrayList<>();
        if (leadership != null) {
            leadership.onConnected(peer);
            goOn(nowMs, out);
        }
        return out;
    }

    /** Lets time go on. */
    public List<ReplicaOutput> tick(long nowMs) {
        List<ReplicaOutput> out = new ArrayList<>();
        if (storedToken < lastToken && diskOwesSinceMs == NOTHING_OWED) {
            diskOwesSinceMs = nowMs;
        }
        if (leadership != null) {
            leadership.tick(nowMs);
            goOn(nowMs, out);
        }
        return out;
    }

    /** What there is to say of the replicas of a shard that this one leads, itself among them. */
    public List<ReplicaRow> standings(long nowMs) {
        if (leadership == null) {
            return List.of();
        }
        List<ReplicaRow> rows = leadership.standings(nowMs);
        if (leads() && !isDiskStalled(nowMs)) {
            rows.add(new ReplicaRow(shard, leadership.epoch(), me, ReplicaStanding.LEADING.code()));
        }
        return rows;
    }

    private boolean isDiskStalled(long nowMs) {
        return diskOwesSinceMs != NOTHING_OWED && nowMs - diskOwesSinceMs > DISK_STALLED_MS;
    }

    /** Bytes of the records that are held in memory. */
    public long heldBytes() {
        return log.bytes();
    }

    /** All entries that are held, oldest first. */
    List<LogEntry> entries() {
        return log.after(0, Integer.MAX_VALUE, Long.MAX_VALUE);
    }

    /** Drops committed entries that nobody needs any more. */
    public void drop(Predicate<LogEntry> unneeded) {
        log.drop(unneeded);
    }

    private void goOn(long nowMs, List<ReplicaOutput> out) {
        if (leadership == null) {
            return;
        }
        commit(leadership.committable(storedSeq), out);
        leadership.establish();
        leadership.confirmed().forEach(token -> out.add(new ReplicaOutput.Confirmed(token)));
        leadership.pump(nowMs, out);
    }
}
