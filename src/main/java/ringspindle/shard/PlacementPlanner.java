package ringspindle.shard;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.ReplicaStanding;

/**
 * Decides who holds a shard next, from the assignment as it stands and the storage nodes in touch. Whoever leads next was a
 * member, and whoever becomes a member was one or was reported as synced: so every member holds all that was committed. Not
 * thread safe; times are of one steady clock.
 */
public final class PlacementPlanner {
    /** So many copies more than are needed are kept, so that a loss need not be made good before the next entry. */
    private static final int SPARE_COPIES = 1;
    /** The first assignment waits so long for storage nodes that are still starting. */
    private static final int FOUNDING_MS = 3000;
    /** Members that are out of touch are kept for so long where fewer copies than needed would be left. */
    private static final int RETURN_MS = 2500;

    private final int copiesMin;
    private final Map<NodeId, Long> missingSinceMs = new HashMap<>();
    private final LeaderWatch leaders = new LeaderWatch();
    /** Who leads each shard, by the assignments that were seen or decided last. */
    private final Map<Integer, NodeId> leaderByShard = new HashMap<>();

    private long firstSeenMs = -1;

    /**
     * A planner that knows nothing yet.
     *
     * @param copiesMin on how many disks an entry must be to be committed
     */
    public PlacementPlanner(int copiesMin) {
        this.copiesMin = copiesMin;
    }

    /** Takes note of who is in touch; comes before {@link #next}, at each look. */
    public void observe(Map<NodeId, StorageNodeStatus> nodes, List<ShardAssignment> assignments, long nowMs) {
        if (firstSeenMs < 0 && !nodes.isEmpty()) {
            firstSeenMs = nowMs;
        }
        Set<NodeId> missing = new HashSet<>();
        for (ShardAssignment assignment : assignments) {
            leaderByShard.put(assignment.shard(), assignment.leader().node());
            boolean leads = isReported(assignment.leader(), ReplicaStanding.LEADING, assignment, nodes);
            leaders.observe(assignment, leads, nowMs);
            for (ShardMember member : assignment.members()) {
                if (!inTouch(member, nodes)) {
                    missing.add(member.node());
                }
            }
        }
        missingSinceMs.keySet().retainAll(missing);
        missing.forEach(node -> missingSinceMs.putIfAbsent(node, nowMs));
    }

    private static boolean inTouch(ShardMember member, Map<NodeId, StorageNodeStatus> nodes) {
        StorageNodeStatus status = nodes.get(member.node());
        return status != null && status.store() == member.store();
    }

    /**
     * The assignment that should follow, empty if the present one may stay.
     *
     * @param current null if the shard was never assigned
     * @param nodes those in touch
     */
    public Optional<ShardAssignment> next(
            int shard, ShardAssignment current, Map<NodeId, StorageNodeStatus> nodes, long nowMs) {
        Optional<ShardAssignment> next = current == null ? first(shard, nodes, nowMs) : after(current, nodes, nowMs);
        next.ifPresent(
                assignment -> leaderByShard.put(shard, assignment.leader().node()));
        return next;
    }

    private Optional<ShardAssignment> first(int shard, Map<NodeId, StorageNodeStatus> nodes, long nowMs) {
        List<StorageNodeStatus> chosen = choose(shard, List.of(), nodes, copiesMin + SPARE_COPIES);
        boolean waits = firstSeenMs < 0 || nowMs - firstSeenMs < FOUNDING_MS;
        if (chosen.size() < copiesMin || waits) {
            return Optional.empty();
        }
        StorageNodeStatus leader = chosen.stream()
                .min(Comparator.comparingLong(status -> shardsLed(shard, status.node())))
                .orElseThrow();
        return Optional.of(new ShardAssignment(
                shard,
                1,
                leader.member(),
                leader.boot(),
                chosen.stream().map(StorageNodeStatus::member).toList(),
                List.of()));
    }

    /** How many other shards a node leads. */
    private long shardsLed(int shard, NodeId node) {
        return leaderByShard.entrySet().stream()
                .filter(entry -> entry.getKey() != shard && entry.getValue().equals(node))
                .count();
    }

    private Optional<ShardAssignment> after(ShardAssignment current, Map<NodeId, StorageNodeStatus> nodes, long nowMs) {
        List<ShardMember> members = members(current, nodes, nowMs);
        Optional<StorageNodeStatus> leader = leader(current, members, nodes, nowMs);
        if (leader.isEmpty()) {
            return Optional.empty();
        }
        List<ShardMember> learners = learners(current, members, nodes);
        boolean same = leader.get().member().equals(current.leader())
                && leader.get().boot() == current.leaderBoot()
                && members.equals(current.members())
                && learners.equals(current.learners());
        return same
                ? Optional.empty()
                : Optional.of(new ShardAssignment(
                        current.shard(),
                        current.epoch() + 1,
                        leader.get().member(),
                        leader.get().boot(),
                        members,
                        learners));
    }

    /** Members that are in touch and answer, and learners that are synced; the others too where too few would be left. */
    private List<ShardMember> members(ShardAssignment current, Map<NodeId, StorageNodeStatus> nodes, long nowMs) {
        List<ShardMember> answering = current.members().stream()
                .filter(member ->
                        inTouch(member, nodes) && !isReported(member, ReplicaStanding.LAGGING, current, nodes))
                .toList();
        List<ShardMember> joined = Stream.concat(
                        answering.stream(),
                        current.learners().stream()
                                .filter(learner -> inTouch(learner, nodes)
                                        && isReported(learner, ReplicaStanding.SYNCED, current, nodes)))
                .toList();
        List<ShardMember> staying = joined.stream()
                .filter(member -> !nodes.get(member.node()).leaving())
                .toList();
        if (staying.size() >= copiesMin) {
            return staying;
        }
        boolean mayShrink = joined.size() >= copiesMin
                || current.members().stream()
                        .allMatch(member -> joined.contains(member) || isGone(member, nodes, nowMs));
        return mayShrink ? joined : current.members();
    }

    /** True for a member that has been out of touch for long, or whose node has another disk by now. */
    private boolean isGone(ShardMember member, Map<NodeId, StorageNodeStatus> nodes, long nowMs) {
        Long sinceMs = missingSinceMs.get(member.node());
        boolean replaced = nodes.containsKey(member.node()) && !inTouch(member, nodes);
        return replaced || sinceMs != null && nowMs - sinceMs > RETURN_MS;
    }

    /** True if the leader of that very assignment, in its present process, says so of the replica. */
    private static boolean isReported(
            ShardMember replica,
            ReplicaStanding standing,
            ShardAssignment assignment,
            Map<NodeId, StorageNodeStatus> nodes) {
        StorageNodeStatus leader = nodes.get(assignment.leader().node());
        return leader != null
                && leader.member().equals(assignment.leader())
                && leader.boot() == assignment.leaderBoot()
                && leader.reports(assignment, replica.node(), standing);
    }

    /**
     * The present leader if it is the same process still and leads, else another member that is in touch. One that does not lead
     * though it should stays only where there is no other.
     */
    private Optional<StorageNodeStatus> leader(
            ShardAssignment current, List<ShardMember> members, Map<NodeId, StorageNodeStatus> nodes, long nowMs) {
        List<StorageNodeStatus> able = members.stream()
                .filter(member -> inTouch(member, nodes) && current.members().contains(member))
                .map(member -> nodes.get(member.node()))
                .toList();
        Optional<StorageNodeStatus> present = able.stream()
                .filter(status -> status.member().equals(current.leader())
                        && status.boot() == current.leaderBoot()
                        && !status.leaving())
                .findFirst();
        boolean overdue = present.isPresent() && leaders.isOverdue(current, nowMs);
        if (present.isPresent() && !overdue) {
            return present;
        }
        Optional<StorageNodeStatus> other = able.stream()
                .filter(status -> !overdue || !status.leaving() && !status.equals(present.get()))
                .min(Comparator.comparing(StorageNodeStatus::leaving)
                        .thenComparing(status -> shardsLed(current.shard(), status.node())));
        return other.isPresent() ? other : present;
    }

    private List<ShardMember> learners(
            ShardAssignment current, List<ShardMember> members, Map<NodeId, StorageNodeStatus> nodes) {
        List<ShardMember> learners = new ArrayList<>(current.learners());
        learners.removeIf(learner -> members.contains(learner)
                || !inTouch(learner, nodes)
                || nodes.get(learner.node()).leaving());
        long present = members.stream()
                .filter(member ->
                        inTouch(member, nodes) && !nodes.get(member.node()).leaving())
                .count();
        long lacking = copiesMin + SPARE_COPIES - present - learners.size();
        if (lacking > 0) {
            List<ShardMember> held =
                    Stream.concat(members.stream(), learners.stream()).toList();
            choose(current.shard(), held, nodes, (int) lacking).forEach(status -> learners.add(status.member()));
        }
        return learners;
    }

    /** Nodes that hold nothing of the shard yet, from the zones that hold least of it. */
    private static List<StorageNodeStatus> choose(
            int shard, List<ShardMember> held, Map<NodeId, StorageNodeStatus> nodes, int count) {
        Map<String, Integer> copiesByZone = new HashMap<>();
        Set<NodeId> taken = new HashSet<>();
        for (ShardMember replica : held) {
            taken.add(replica.node());
            StorageNodeStatus status = nodes.get(replica.node());
            if (status != null) {
                copiesByZone.merge(status.zone(), 1, Integer::sum);
            }
        }
        List<StorageNodeStatus> chosen = new ArrayList<>();
        while (chosen.size() < count) {
            Optional<StorageNodeStatus> best = nodes.values().stream()
                    .filter(status -> !status.leaving() && !taken.contains(status.node()))
                    .min(Comparator.comparingInt(
                                    (StorageNodeStatus status) -> copiesByZone.getOrDefault(status.zone(), 0))
                            .thenComparingLong(status -> rank(shard, status.node())));
            if (best.isEmpty()) {
                break;
            }
            chosen.add(best.get());
            taken.add(best.get().node());
            copiesByZone.merge(best.get().zone(), 1, Integer::sum);
        }
        return chosen;
    }

    /** A rank that differs by shard, so that nodes hold about as many shards each. */
    private static long rank(int shard, NodeId node) {
        long mixed = (node.bits() * 31 + shard) * 0x9E3779B97F4A7C15L;
        return mixed ^ mixed >>> 29;
    }
}
