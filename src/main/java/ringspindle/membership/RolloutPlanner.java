package ringspindle.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ringspindle.replication.Rollout;

/** The duty of driving a roll-out: from what is known to the next order. Pure; its holder asks it on every beat. */
public final class RolloutPlanner {
    /** An engine as the holder knows it; weights below 0 if it never said. */
    public record Member(String id, String region, long weights, boolean leaving, boolean silent) {}

    /** An order to the control state; cause is empty but for a pause. */
    public record Order(String order, String id, Cause cause) {}

    /** Why a roll-out pauses by itself. */
    public enum Cause {
        NONE,
        SWAP_OVERDUE,
        WRONG_CHECKPOINT,
        ENGINES_SILENT
    }

    private final Map<String, Long> sinceMs = new HashMap<>();

    /** The next order, null if there is nothing to do now; {@code plan.next(rollout, members, nowMs)}. */
    public Order next(Rollout r, List<Member> members, long nowMs) {
        sinceMs.keySet().retainAll(r.turn());
        if (r.state() != Rollout.Standing.RUNNING) {
            sinceMs.clear();
            return null;
        }
        Map<String, Member> byId = new HashMap<>();
        members.forEach(m -> byId.put(m.id(), m));
        for (String id : r.turn()) {
            Member m = byId.get(id);
            long since = sinceMs.computeIfAbsent(id, k -> nowMs);
            if (m == null || m.leaving()) {
                return new Order("lost", id, Cause.NONE);
            }
            if (m.weights() == r.target() && !m.silent()) {
                return new Order("swapped", id, Cause.NONE);
            }
            if (m.weights() >= 0 && r.from() >= 0 && m.weights() != r.from() && m.weights() != r.target()) {
                return new Order("pause", id, Cause.WRONG_CHECKPOINT);
            }
            if (nowMs - since > r.patienceS() * 1000L) {
                return new Order("pause", id, m.silent() ? Cause.ENGINES_SILENT : Cause.SWAP_OVERDUE);
            }
        }
        boolean all = !members.isEmpty();
        String best = null;
        double bestShare = -1;
        for (Member m : members) {
            if (m.leaving() || m.weights() == r.target()) {
                continue;
            }
            all = false;
            if (m.silent() || r.turn().contains(m.id())) {
                continue;
            }
            double share = spare(r, members, m.region());
            if (share > bestShare || share == bestShare && best != null && m.id().compareTo(best) < 0) {
                bestShare = share;
                best = m.id();
            }
        }
        if (all && r.turn().isEmpty()) {
            return new Order("done", "", Cause.NONE);
        }
        return best != null && bestShare >= 0 && r.turn().size() < r.atOnce()
                ? new Order("turn", best, Cause.NONE)
                : null;
    }

    /** What stays above the floor if one more engine of that region goes out, as a share; below 0 if it may not. */
    private static double spare(Rollout r, List<Member> members, String region) {
        int total = 0;
        int serving = 0;
        for (Member m : members) {
            if (m.region().equals(region) && !m.leaving()) {
                total++;
                serving += m.silent() || r.turn().contains(m.id()) ? 0 : 1;
            }
        }
        int need = (int) Math.ceil(r.floor() * total - 1e-9);
        return serving - 1 < need ? -1 : (serving - 1 - need) / (double) total;
    }

    /** True if that floor lets every region's engines take their turn; {@code RolloutPlanner.feasible(0.5, members)}. */
    public static boolean feasible(double floor, List<Member> members) {
        Map<String, Integer> total = new TreeMap<>();
        members.forEach(m -> total.merge(m.region(), m.leaving() ? 0 : 1, Integer::sum));
        return total.values().stream().allMatch(n -> n == 0 || n - 1 >= Math.ceil(floor * n - 1e-9));
    }
}
