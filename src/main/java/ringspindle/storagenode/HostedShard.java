package ringspindle.storagenode;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import ringspindle.batch.Job;
import ringspindle.batch.JobItem;
import ringspindle.batch.JobSubmission;
import ringspindle.batch.JobTable;
import ringspindle.batch.RunQueue;
import ringspindle.protocol.BatchMessage.JobAccepted;
import ringspindle.protocol.BatchMessage.JobCall;
import ringspindle.protocol.BatchMessage.JobFailed;
import ringspindle.protocol.BatchMessage.JobItemData;
import ringspindle.protocol.BatchMessage.JobListed;
import ringspindle.protocol.BatchMessage.JobMark;
import ringspindle.protocol.Codec;
import ringspindle.protocol.JobMarkKind;
import ringspindle.protocol.JobStatus;
import ringspindle.protocol.Message;
import ringspindle.protocol.ShardMessage.LogEntry;
import ringspindle.shard.ReplicaOutput;
import ringspindle.shard.ShardReplica;

/**
 * One shard at this node: its replica, the jobs that its committed records make, and, while it leads, the calls that wait for a
 * record to be committed. Confined to the lock of {@link ShardHost}.
 */
final class HostedShard {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final byte[] NO_BODY = {};
    /** A job that is over is kept for so long beyond what readers are promised. */
    private static final int FORGET_MARGIN_MS = 30_000;

    /** A caller that is told one status and body, once. */
    interface Reply {
        /** Ends the call; does nothing if {@link #isWanted} is false. */
        void send(JobStatus status, byte[] body);

        /** False once the connection that the call came over is gone. */
        boolean isWanted();
    }

    /** A reading that is held until there is a result. */
    private record HeldReading(String job, long position, long untilMs, Reply reply) {}

    /** A call whose answer holds only if this node leads still. */
    private record Confirmation(Runnable answer, Reply reply) {}

    private final int shard;
    private final ShardReplica replica;
    private final JobTable jobs = new JobTable();
    private final Map<Long, Long> segments = new HashMap<>();
    private final Map<String, List<Long>> entriesOfJob = new HashMap<>();
    // what follows is the leader's
    private RunQueue queue = new RunQueue();
    private final Map<String, JobAccepted> proposed = new HashMap<>();
    private final Map<String, List<Reply>> submitters = new HashMap<>();
    private final Map<String, List<Reply>> enders = new HashMap<>();
    private final Set<RunQueue.ItemKey> listing = new HashSet<>();
    private final Set<String> forgetting = new HashSet<>();
    private final List<HeldReading> readings = new ArrayList<>();
    private final Map<Long, Confirmation> confirmations = new HashMap<>();
    private long lastConfirmation;

    HostedShard(int shard, ShardReplica replica) {
        this.shard = shard;
        this.replica = replica;
    }

    ShardReplica replica() {
        return replica;
    }

    JobTable jobs() {
        return jobs;
    }

    RunQueue queue() {
        return queue;
    }

    int number() {
        return shard;
    }

    // ---- calls

    /** Takes a job that was read; answers at once, or once it is committed. */
    List<ReplicaOutput> submit(
            JobSubmission.Proper submission, long queuedTokensMax, boolean full, Reply reply, long nowMs) {
        JobAccepted accepted = submission.job();
        if (jobs.job(accepted.job()) != null) {
            reply.send(JobStatus.DONE, NO_BODY);
            return List.of();
        }
        if (proposed.containsKey(accepted.job())) {
            submitters.computeIfAbsent(accepted.job(), id -> new ArrayList<>()).add(reply);
            return List.of();
        }
        long waiting = waitingTokens(accepted);
        if (queuedTokensMax > 0 && waiting + submission.tokens() > queuedTokensMax) {
            reply.send(JobStatus.OVER_QUOTA, NO_BODY);
            return List.of();
        }
        if (full) {
            reply.send(JobStatus.FULL, NO_BODY);
            return List.of();
        }
        proposed.put(accepted.job(), accepted);
        submitters.computeIfAbsent(accepted.job(), id -> new ArrayList<>()).add(reply);
        return replica.propose(Codec.encode(accepted), nowMs);
    }

    private long waitingTokens(JobAccepted like) {
        long tokens = jobs.waitingTokens(like.tenant(), like.route());
        for (JobAccepted other : proposed.values()) {
            if (other.route().equals(like.route()) && other.tenant().equals(like.tenant())) {
                tokens += other.items().stream().mapToLong(JobItemData::tokens).sum();
            }
        }
        return tokens;
    }

    /** Reads results, now if there are any, else once there are or the caller's time is up. */
    List<ReplicaOutput> results(JobCall call, Reply reply, long nowMs) {
        Job job = jobs.job(call.job());
        if (job != null && job.resultCount() > call.position()) {
            reply.send(JobStatus.DONE, job.page(call.position()));
            return List.of();
        }
        if (job != null && call.waitMs() > 0 && !job.isClosed()) {
            readings.add(new HeldReading(call.job(), call.position(), nowMs + call.waitMs(), reply));
            return List.of();
        }
        return page(call.job(), call.position(), reply, nowMs);
    }

    /** What is not there is said only once it is certain that no later leader has it. */
    private List<ReplicaOutput> page(String id, long position, Reply reply, long nowMs) {
        return confirm(
                () -> {
                    Job job = jobs.job(id);
                    if (job == null) {
                        reply.send(JobStatus.NO_SUCH, NO_BODY);
                    } else {
                        reply.send(JobStatus.DONE, job.page(position));
                    }
                },
                reply,
                nowMs);
    }

    private List<ReplicaOutput> confirm(Runnable then, Reply reply, long nowMs) {
        long token = ++lastConfirmation;
        confirmations.put(token, new Confirmation(then, reply));
        return replica.confirm(token, nowMs);
    }

    /** Reads the body of an item that has no result yet. */
    List<ReplicaOutput> item(JobCall call, Reply reply, long nowMs) {
        Optional<byte[]> body = body(call);
        if (body.isPresent()) {
            reply.send(JobStatus.DONE, body.get());
            return List.of();
        }
        return confirm(
                () -> body(call)
                        .ifPresentOrElse(
                                found -> reply.send(JobStatus.DONE, found),
                                () -> reply.send(JobStatus.NO_SUCH, NO_BODY)),
                reply,
                nowMs);
    }

    private Optional<byte[]> body(JobCall call) {
        Job job = jobs.job(call.job());
        if (job == null || job.isEnded()) {
            return Optional.empty();
        }
        return job.item(call.item()).flatMap(JobItem::data).map(JobItemData::body);
    }

    /** Ends a job; answers once that is committed. */
    List<ReplicaOutput> end(JobCall call, Reply reply, long nowMs) {
        Job job = jobs.job(call.job());
        if (job == null) {
            return confirm(
                    () -> reply.send(jobs.job(call.job()) == null ? JobStatus.NO_SUCH : JobStatus.UNCLEAR, NO_BODY),
                    reply,
                    nowMs);
        }
        if (job.isEnded()) {
            reply.send(JobStatus.DONE, "{}".getBytes(UTF_8));
            return List.of();
        }
        boolean first = !enders.containsKey(call.job());
        enders.computeIfAbsent(call.job(), id -> new ArrayList<>()).add(reply);
        return first ? propose(new JobMark(call.job(), JobMarkKind.ENDED.code()), nowMs) : List.of();
    }

    private List<ReplicaOutput> propose(Message record, long nowMs) {
        return replica.propose(Codec.encode(record), nowMs);
    }

    // ---- what became of items

    /** Gives an item its position, unless it has one or is about to have it. */
    List<ReplicaOutput> list(RunQueue.ItemKey key, JobItem.State state, byte[] text, long nowMs) {
        Job job = jobs.job(key.job());
        if (job == null || job.items().get(key.item()).isListed() || !listing.add(key)) {
            return List.of();
        }
        return propose(new JobListed(key.job(), key.item(), state.code(), text), nowMs);
    }

    /** Counts a failure of an item. */
    List<ReplicaOutput> failed(RunQueue.ItemKey key, long nowMs) {
        return propose(new JobFailed(key.job(), key.item()), nowMs);
    }

    // ---- what the replica tells

    /** A record is committed; returns the job that was ended by it, if it is such a record. */
    Optional<String> committed(LogEntry entry, long nowMs) {
        Message record = Codec.decode(entry.record());
        jobs.apply(record, nowMs);
        if (record instanceof JobAccepted accepted) {
            remember(accepted.job(), entry);
            proposed.remove(accepted.job());
            answer(submitters.remove(accepted.job()));
        } else if (record instanceof JobListed listed) {
            remember(listed.job(), entry);
            listing.remove(new RunQueue.ItemKey(listed.job(), listed.item()));
            wake(listed.job());
        } else if (record instanceof JobFailed failure) {
            remember(failure.job(), entry);
        } else if (record instanceof JobMark mark) {
            remember(mark.job(), entry);
            return marked(mark);
        }
        return Optional.empty();
    }

    private void remember(String job, LogEntry entry) {
        entriesOfJob.computeIfAbsent(job, id -> new ArrayList<>()).add(entry.seq());
    }

    private Optional<String> marked(JobMark mark) {
        if (JobMarkKind.of(mark.kindCode()) == JobMarkKind.FORGOTTEN) {
            forgetting.remove(mark.job());
            drop(entriesOfJob.remove(mark.job()));
            return Optional.empty();
        }
        answer(enders.remove(mark.job()));
        wake(mark.job());
        return Optional.of(mark.job());
    }

    private void drop(List<Long> entries) {
        if (entries != null) {
            Set<Long> unneeded = new HashSet<>(entries);
            replica.drop(entry -> unneeded.contains(entry.seq()));
            segments.keySet().removeAll(unneeded);
        }
    }

    private static void answer(Collection<Reply> waiting) {
        if (waiting != null) {
            waiting.forEach(reply -> reply.send(JobStatus.DONE, "{}".getBytes(UTF_8)));
        }
    }

    private void wake(String id) {
        Job job = jobs.job(id);
        readings.removeIf(held -> {
            boolean due = held.job().equals(id) && job != null && job.resultCount() > held.position();
            if (due) {
                held.reply().send(JobStatus.DONE, job.page(held.position()));
            }
            return due;
        });
    }

    void confirmed(long token) {
        Optional.ofNullable(confirmations.remove(token))
                .ifPresent(confirmation -> confirmation.answer().run());
    }

    void appointed(long epoch) {
        queue = new RunQueue();
        LOG.atInfo().log(
                "shard %s: leads under epoch %s with %s jobs",
                shard, epoch, jobs.jobs().size());
    }

    /** Whoever waits here is told that it has to ask elsewhere, or that nobody can tell. */
    void deposed() {
        submitters.values().forEach(each -> each.forEach(reply -> reply.send(JobStatus.UNCLEAR, NO_BODY)));
        enders.values().forEach(each -> each.forEach(reply -> reply.send(JobStatus.UNCLEAR, NO_BODY)));
        readings.forEach(held -> held.reply().send(JobStatus.NOT_LEADER, NO_BODY));
        confirmations.values().forEach(each -> each.reply().send(JobStatus.NOT_LEADER, NO_BODY));
        submitters.clear();
        enders.clear();
        readings.clear();
        confirmations.clear();
        proposed.clear();
        listing.clear();
        forgetting.clear();
    }

    // ---- time and disk

    /** Answers readings whose time is up, and forgets jobs that are over and old enough. */
    List<ReplicaOutput> tick(long statusTtlMs, long nowMs) {
        List<ReplicaOutput> out = new ArrayList<>();
        readings.removeIf(held -> !held.reply().isWanted());
        List<HeldReading> due =
                readings.stream().filter(held -> held.untilMs() <= nowMs).toList();
        readings.removeAll(due);
        due.forEach(held -> out.addAll(page(held.job(), held.position(), held.reply(), nowMs)));
        for (Job job : List.copyOf(jobs.jobs())) {
            boolean old = nowMs - job.learntMs() > statusTtlMs + FORGET_MARGIN_MS;
            if (old && job.isClosed() && forgetting.add(job.id())) {
                out.addAll(propose(new JobMark(job.id(), JobMarkKind.FORGOTTEN.code()), nowMs));
            }
        }
        queue.retain(jobs.jobs());
        return out;
    }

    /** An entry is on disk, in that file. */
    void written(long seq, long segment) {
        segments.put(seq, segment);
    }

    /** The first file of which an entry is needed. */
    long firstNeededSegment() {
        return segments.values().stream().mapToLong(Long::longValue).min().orElse(Long.MAX_VALUE);
    }
}
