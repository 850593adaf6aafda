package ringspindle.dataplane;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import ringspindle.gossip.FactStore;
import ringspindle.protocol.BatchMessage.JobCall;
import ringspindle.protocol.BatchMessage.JobReply;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.JobStatus;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeId;
import ringspindle.proxy.JobGateway;
import ringspindle.shard.ShardAssignment;
import ringspindle.time.MonotonicClock;
import ringspindle.transport.Mesh;

/**
 * Passes clients' calls about batch jobs to the leaders of their shards. A call may be sent again, to the same leader or the next
 * one: jobs are taken once by their ids, and readings change nothing.
 *
 * <p>Replies are matched by call id and sender alone, and a leader may hold one for a process that ran here before; ids therefore
 * start at a random number.
 *
 * <p>Owns who leads what, and the calls under way; guarded by a lock of its own, under which no other is taken. Replies are
 * handed on by threads of the pool.
 */
final class JobCaller implements JobGateway, NodeComponent {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** After a leader refused a call, or could not be reached, it is not sent for so long. */
    private static final int RESEND_MS = 100;

    private static final byte[] NO_BODY = {};

    /** A call under way. */
    private static final class PendingCall {
        final JobCall call;
        final long untilMs;
        final BiConsumer<JobStatus, byte[]> reply;
        /** Whom it was sent to and who has not answered yet, null if nobody. */
        NodeId sentTo;

        long notBeforeMs;
        /** Some leader may have done it without its reply coming through. */
        boolean inDoubt;

        PendingCall(JobCall call, long untilMs, BiConsumer<JobStatus, byte[]> reply) {
            this.call = call;
            this.untilMs = untilMs;
            this.reply = reply;
        }
    }

    private final Object lock = new Object();
    private final Mesh mesh;
    private final Executor pool;
    private final MonotonicClock clock;
    /** How often assignments had changed when they were read; guarded by the lock of the facts. */
    private long assignmentsOfChanges;

    private final Map<Integer, NodeId> leaders = new HashMap<>();
    private final Map<Long, PendingCall> pending = new HashMap<>();
    private long lastId;

    /**
     * Creates a caller without calls under way.
     *
     * @param startId a random number: no other process at this address may use the same ids
     */
    JobCaller(Mesh mesh, Executor pool, MonotonicClock clock, long startId) {
        this.mesh = mesh;
        this.pool = pool;
        this.clock = clock;
        lastId = startId;
    }

    @Override
    public boolean isAvailable() {
        synchronized (lock) {
            return !leaders.isEmpty();
        }
    }

    @Override
    public void call(JobCall call, long timeLimitMs, BiConsumer<JobStatus, byte[]> reply) {
        long nowMs = clock.nowMs();
        synchronized (lock) {
            JobCall numbered = new JobCall(
                    ++lastId,
                    call.kindCode(),
                    call.shard(),
                    call.position(),
                    call.waitMs(),
                    call.job(),
                    call.item(),
                    call.route(),
                    call.host(),
                    call.tenant(),
                    call.body());
            PendingCall added = new PendingCall(numbered, nowMs + timeLimitMs, reply);
            pending.put(numbered.id(), added);
            send(added, nowMs);
        }
    }

    /** Sends a call if its leader is known and connected, else dials it; the lock is held. */
    private void send(PendingCall waiting, long nowMs) {
        NodeId leader = leaders.get(waiting.call.shard());
        if (leader == null || nowMs < waiting.notBeforeMs) {
            return;
        }
        if (!mesh.connected(leader)) {
            mesh.dial(leader);
            return;
        }
        waiting.sentTo = leader;
        mesh.send(leader, waiting.call);
    }

    @Override
    public void opened(Hello peer) {
        long nowMs = clock.nowMs();
        synchronized (lock) {
            for (PendingCall waiting : pending.values()) {
                boolean isLeader = peer.node().equals(leaders.get(waiting.call.shard()));
                if (isLeader) {
                    // what went over an earlier connection may be lost
                    waiting.inDoubt |= waiting.sentTo != null;
                    send(waiting, nowMs);
                }
            }
        }
    }

    @Override
    public void received(NodeId from, Message message) {
        if (!(message instanceof JobReply reply)) {
            return;
        }
        synchronized (lock) {
            PendingCall answered = pending.get(reply.id());
            if (answered == null || !from.equals(answered.sentTo)) {
                LOG.atFine().log("%s replies to call %s, for which nobody waits here", from, reply.id());
                return;
            }
            if (reply.status() == JobStatus.NOT_LEADER) {
                answered.sentTo = null;
                answered.notBeforeMs = clock.nowMs() + RESEND_MS;
                return;
            }
            pending.remove(reply.id());
            pool.execute(() -> answered.reply.accept(reply.status(), reply.body()));
        }
    }

    @Override
    public void closed(NodeId peer) {
        synchronized (lock) {
            for (PendingCall waiting : pending.values()) {
                if (peer.equals(waiting.sentTo)) {
                    waiting.sentTo = null;
                    waiting.inDoubt = true;
                    waiting.notBeforeMs = clock.nowMs() + RESEND_MS;
                }
            }
        }
    }

    @Override
    public void factsChanged(FactStore facts) {
        if (facts.changes(FactKind.SHARD) == assignmentsOfChanges) {
            return;
        }
        assignmentsOfChanges = facts.changes(FactKind.SHARD);
        List<ShardAssignment> assignments = ShardAssignment.readAll(facts.all(FactKind.SHARD));
        synchronized (lock) {
            assignments.forEach(each -> leaders.put(each.shard(), each.leader().node()));
        }
    }

    /** Sends again what nobody has, and gives up what took too long. */
    @Override
    public void tick(long nowMs) {
        synchronized (lock) {
            pending.values().removeIf(waiting -> {
                if (nowMs >= waiting.untilMs) {
                    giveUp(waiting);
                    return true;
                }
                NodeId leader = leaders.get(waiting.call.shard());
                boolean replaced = waiting.sentTo != null && !waiting.sentTo.equals(leader);
                waiting.inDoubt |= replaced;
                if (waiting.sentTo == null || replaced) {
                    waiting.sentTo = null;
                    send(waiting, nowMs);
                }
                return false;
            });
        }
    }

    private void giveUp(PendingCall waiting) {
        boolean inDoubt = waiting.inDoubt || waiting.sentTo != null;
        JobStatus status = inDoubt ? JobStatus.UNCLEAR : JobStatus.NOT_LEADER;
        pool.execute(() -> waiting.reply.accept(status, NO_BODY));
    }
}
