package ringspindle.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ringspindle.replication.Rollout;

/**
 * Plans a rollout: from what is known of a service's engines to the next order. The holder of the rollout duty asks it at
 * every tick; it has no clock of its own and only remembers since when each engine has had its turn. Not thread safe.
 */
public final class RolloutPlanner {
    private static final long MS_PER_S = 1000;
    /** Floors are shares: what rounding leaves over must not ask for one engine more. */
    private static final double ROUNDING = 1e-9;
    /** Of a region where no engine may go out of service. */
    private static final double NONE_TO_SPARE = -1;

    /** An engine as the holder of the duty knows it; {@code weights} is below 0 if it never said. */
    public record Member(String id, String region, long weights, boolean leaving, boolean silent) {}

    /** What an order to the control state asks for. */
    public enum Action {
        /** An engine gets its turn to swap. */
        TURN("turn"),
        /** An engine in turn has the new weights. */
        SWAPPED("swapped"),
        /** An engine in turn is gone. */
        LOST("lost"),
        /** The rollout waits for an operator. */
        PAUSE("pause"),
        /** All engines have the new weights. */
        DONE("done");

        private final String order;

        Action(String order) {
            this.order = order;
        }

        /** The order's name in the control state's orders. */
        public String order() {
            return order;
        }
    }

    /** Why a rollout pauses by itself. The names are part of the control state and of what operators read. */
    public enum Cause {
        /** Of every order but a pause. */
        NONE,
        /** The engine in turn did not swap within the rollout's patience. */
        SWAP_OVERDUE,
        /** The engine in turn has weights that are neither the old nor the new ones. */
        WRONG_CHECKPOINT,
        /** The engine in turn was not heard within the rollout's patience. */
        ENGINES_SILENT
    }

    /** An order to the control state; {@code id} names the engine, empty for {@link Action#DONE}. */
    public record Order(Action action, String id, Cause cause) {
        private static Order of(Action action, String id) {
            return new Order(action, id, Cause.NONE);
        }

        private static Order pause(String id, Cause cause) {
            return new Order(Action.PAUSE, id, cause);
        }

        /** The order's name in the control state's orders. */
        public String order() {
            return action.order();
        }
    }

    /** Since when an engine has had its turn, by its id. */
    private final Map<String, Long> turnSinceMs = new HashMap<>();

    /**
     * The next order, null if there is nothing to do now; {@code planner.next(rollout, members, clock.nowMs())}.
     *
     * @param members the engines of the rollout's service
     */
    public Order next(Rollout rollout, List<Member> members, long nowMs) {
        turnSinceMs.keySet().retainAll(rollout.swapping());
        if (rollout.status() != Rollout.Status.RUNNING) {
            turnSinceMs.clear();
            return null;
        }
        Order inTurn = ofEnginesInTurn(rollout, members, nowMs);
        if (inTurn != null) {
            return inTurn;
        }
        if (rollout.swapping().isEmpty() && allSwapped(rollout, members)) {
            return Order.of(Action.DONE, "");
        }
        String engine = nextEngine(rollout, members);
        return engine != null && rollout.swapping().size() < rollout.maxUnavailable()
                ? Order.of(Action.TURN, engine)
                : null;
    }

    /** The first order that an engine in turn gives cause for, null if there is none. */
    private Order ofEnginesInTurn(Rollout rollout, List<Member> members, long nowMs) {
        Map<String, Member> byId = new HashMap<>();
        members.forEach(member -> byId.put(member.id(), member));
        for (String id : rollout.swapping()) {
            long sinceMs = turnSinceMs.computeIfAbsent(id, k -> nowMs);
            Order order = ofEngineInTurn(rollout, id, byId.get(id), nowMs - sinceMs);
            if (order != null) {
                return order;
            }
        }
        return null;
    }

    private static Order ofEngineInTurn(Rollout rollout, String id, Member engine, long inTurnMs) {
        if (engine == null || engine.leaving()) {
            return Order.of(Action.LOST, id);
        }
        if (engine.weights() == rollout.targetWeights() && !engine.silent()) {
            return Order.of(Action.SWAPPED, id);
        }
        if (hasOtherWeights(rollout, engine)) {
            return Order.pause(id, Cause.WRONG_CHECKPOINT);
        }
        if (inTurnMs > rollout.swapTimeoutS() * MS_PER_S) {
            return Order.pause(id, engine.silent() ? Cause.ENGINES_SILENT : Cause.SWAP_OVERDUE);
        }
        return null;
    }

    /** True if the engine's weights are known to be neither the old nor the new ones. */
    private static boolean hasOtherWeights(Rollout rollout, Member engine) {
        boolean known = engine.weights() >= 0 && rollout.previousWeights() >= 0;
        return known && engine.weights() != rollout.previousWeights() && engine.weights() != rollout.targetWeights();
    }

    private static boolean allSwapped(Rollout rollout, List<Member> members) {
        return !members.isEmpty() && members.stream().noneMatch(member -> toSwap(rollout, member));
    }

    private static boolean toSwap(Rollout rollout, Member member) {
        return !member.leaving() && member.weights() != rollout.targetWeights();
    }

    /** The engine to take out of service next: of the region with most to spare, null if none may go. */
    private static String nextEngine(Rollout rollout, List<Member> members) {
        String best = null;
        double bestSpare = NONE_TO_SPARE;
        for (Member member : members) {
            boolean candidate = toSwap(rollout, member)
                    && !member.silent()
                    && !rollout.swapping().contains(member.id());
            if (!candidate) {
                continue;
            }
            double spare = spare(rollout, members, member.region());
            boolean tie = spare == bestSpare && best != null;
            if (spare > bestSpare || tie && member.id().compareTo(best) < 0) {
                bestSpare = spare;
                best = member.id();
            }
        }
        return best;
    }

    /** What stays above the floor if one more engine of that region goes out, as a share of the region's engines. */
    private static double spare(Rollout rollout, List<Member> members, String region) {
        int total = 0;
        int serving = 0;
        for (Member member : members) {
            if (member.region().equals(region) && !member.leaving()) {
                total++;
                serving += member.silent() || rollout.swapping().contains(member.id()) ? 0 : 1;
            }
        }
        int needed = (int) Math.ceil(rollout.minInServiceShare() * total - ROUNDING);
        return serving - 1 < needed ? NONE_TO_SPARE : (serving - 1 - needed) / (double) total;
    }

    /** True if that floor lets every region's engines take their turn; {@code RolloutPlanner.feasible(0.5, members)}. */
    public static boolean feasible(double floor, List<Member> members) {
        Map<String, Integer> totals = new TreeMap<>();
        members.forEach(member -> totals.merge(member.region(), member.leaving() ? 0 : 1, Integer::sum));
        return totals.values().stream()
                .allMatch(total -> total == 0 || total - 1 >= Math.ceil(floor * total - ROUNDING));
    }
}
