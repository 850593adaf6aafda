package ringspindle.shard;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.ReplicaStanding;
import ringspindle.protocol.ShardMessage.LogEntry;
import ringspindle.protocol.ShardMessage.ReplicaRow;
import ringspindle.protocol.ShardMessage.ShardAck;
import ringspindle.protocol.ShardMessage.ShardAppend;

/**
 * What the leader of a shard knows of the others in one epoch: passes entries on, and tells what is committed. Confined to its
 * {@link ShardReplica}.
 *
 * <p>An entry is committed once all members, and all learners that were reported as synced, have it on disk, and they are as
 * many copies as the deployment asks for. A learner that was reported may be made a member at any time from then on, so it is
 * required for the rest of the epoch.
 */
final class Leadership {
    private static final int BATCH_COUNT_MAX = 256;
    private static final int BATCH_BYTES_MAX = 256 << 10;
    /** What was sent is sent again if no answer came for so long. */
    private static final int RESEND_MS = 600;
    /** A replica that owes an answer for so long is reported: it holds up the others. */
    private static final int LAGGING_MS = 900;

    /** A caller that waits until all replicas have answered a round. */
    private record Confirmation(long round, long token) {}

    private final ShardAssignment assignment;
    private final ShardLog log;
    private final int copiesMin;
    /** The last entry when this epoch began: all up to it may have been committed earlier. */
    private final long inheritedSeq;

    private final Map<NodeId, FollowerProgress> followers = new TreeMap<>();
    private final Deque<Confirmation> confirmations = new ArrayDeque<>();
    /** The round before the first one of this epoch. */
    private final long roundBefore;

    private long round;
    private long wantedRound;
    private boolean established;

    /**
     * Starts the leadership of an epoch.
     *
     * @param roundBefore the last round that this process sent in earlier epochs, 0 if none
     */
    Leadership(ShardAssignment assignment, ShardLog log, int copiesMin, long roundBefore) {
        this.assignment = assignment;
        this.log = log;
        this.copiesMin = copiesMin;
        this.roundBefore = roundBefore;
        round = roundBefore;
        inheritedSeq = log.lastSeq();
        add(assignment.members(), true);
        add(assignment.learners(), false);
    }

    private void add(List<ShardMember> replicas, boolean members) {
        for (ShardMember replica : replicas) {
            if (!replica.node().equals(assignment.leader().node())) {
                followers.put(replica.node(), new FollowerProgress(replica, members, inheritedSeq));
            }
        }
    }

    long epoch() {
        return assignment.epoch();
    }

    boolean isEstablished() {
        return established;
    }

    /** The last round that was sent. */
    long lastRound() {
        return round;
    }

    /** Sends whatever replicas lack and are not being sent. */
    void pump(long nowMs, List<ReplicaOutput> out) {
        for (FollowerProgress follower : followers.values()) {
            boolean lacks = !follower.isEstablished()
                    || follower.nextAfterSeq() < log.lastSeq()
                    || follower.sentRound() < wantedRound;
            if (lacks && !follower.awaitsAck()) {
                send(follower, nowMs, out);
            }
        }
    }

    private void send(FollowerProgress follower, long nowMs, List<ReplicaOutput> out) {
        LogEntry previous = log.floor(follower.nextAfterSeq());
        List<LogEntry> entries = log.after(follower.nextAfterSeq(), BATCH_COUNT_MAX, BATCH_BYTES_MAX);
        round++;
        follower.onSent(round, nowMs);
        ShardAppend append = new ShardAppend(
                assignment.shard(),
                epoch(),
                follower.store(),
                round,
                previous == null ? 0 : previous.epoch(),
                previous == null ? 0 : previous.seq(),
                log.committed(),
                entries);
        out.add(new ReplicaOutput.Send(follower.node(), append));
    }

    void onAck(NodeId from, ShardAck ack) {
        FollowerProgress follower = followers.get(from);
        boolean answersThisEpoch = ack.round() > roundBefore && ack.round() <= round;
        if (!answersThisEpoch || follower == null || follower.store() != ack.store()) {
            return;
        }
        if (!ack.matched()) {
            follower.onMismatch(ack.round(), ack.seq());
            return;
        }
        follower.onMatched(ack.round(), ack.seq());
        if (!follower.isRequired() && follower.matchedSeq() >= log.committed()) {
            follower.require();
        }
    }

    /** A connection to a replica stands anew: what was sent before may be lost. */
    void onConnected(NodeId peer) {
        FollowerProgress follower = followers.get(peer);
        if (follower != null) {
            follower.sendAgain();
        }
    }

    void tick(long nowMs) {
        followers.values().stream()
                .filter(follower -> follower.isOverdue(RESEND_MS, nowMs))
                .forEach(FollowerProgress::sendAgain);
    }

    /** Up to which entry all required replicas have the log on disk, if they are enough; what is committed already if not. */
    long committable(long ownStoredSeq) {
        long least = ownStoredSeq;
        for (FollowerProgress follower : followers.values()) {
            if (follower.isRequired()) {
                // below 0 while it has not followed this leader
                least = Math.min(least, follower.matchedSeq());
            }
        }
        return hasCopies() ? Math.max(log.committed(), least) : log.committed();
    }

    /** Notes whether this epoch goes on from all that was committed before. */
    void establish() {
        boolean all = followers.values().stream().allMatch(each -> each.isEstablished() || !each.isRequired());
        established |= all && log.committed() >= inheritedSeq && hasCopies();
    }

    private boolean hasCopies() {
        return 1
                        + followers.values().stream()
                                .filter(FollowerProgress::isRequired)
                                .count()
                >= copiesMin;
    }

    /** Asks all replicas whether they follow still; the token comes back once all do. */
    void confirm(long token) {
        // a round that was sent before this moment proves nothing
        wantedRound = round + 1;
        confirmations.add(new Confirmation(wantedRound, token));
    }

    /** Tokens of confirmations that have not come from all. */
    List<Long> unconfirmed() {
        return confirmations.stream().map(Confirmation::token).toList();
    }

    /** Tokens of confirmations that have come from all. */
    List<Long> confirmed() {
        long answered = followers.values().stream()
                .filter(FollowerProgress::isRequired)
                .mapToLong(FollowerProgress::ackedRound)
                .min()
                .orElse(Long.MAX_VALUE);
        List<Long> tokens = new ArrayList<>();
        while (!confirmations.isEmpty() && confirmations.peek().round() <= answered) {
            tokens.add(confirmations.poll().token());
        }
        return tokens;
    }

    /** What there is to say of the other replicas. */
    List<ReplicaRow> standings(long nowMs) {
        List<ReplicaRow> rows = new ArrayList<>();
        for (FollowerProgress follower : followers.values()) {
            if (follower.isRequired() && follower.lags(LAGGING_MS, nowMs)) {
                rows.add(row(follower, ReplicaStanding.LAGGING));
            } else if (follower.isRequired() && !follower.isMember()) {
                rows.add(row(follower, ReplicaStanding.SYNCED));
            }
        }
        return rows;
    }

    private ReplicaRow row(FollowerProgress follower, ReplicaStanding standing) {
        return new ReplicaRow(assignment.shard(), epoch(), follower.node(), standing.code());
    }
}
