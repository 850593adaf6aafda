package ringspindle.experiment;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ringspindle.experiment.OutcomeCollector.Totals;

/**
 * Watches whether too many requests end badly on all sides at once: then the experiment is in the way, whoever is to blame.
 * Owns the counts of a moment ago; not thread safe.
 */
public final class HarmGuard {
    /** The counts are compared with those of so long ago. */
    private static final long WINDOW_MS = 5000;

    private static final int LEAST_REQUESTS = 50;

    private final List<String> routes;
    private final int sides;
    private final double harm;
    private Map<Cell, Counts> earlier = Map.of();
    private Map<Cell, Counts> between = Map.of();
    private long betweenMs = Long.MIN_VALUE / 2;

    /** Watches an experiment of that plan. */
    public HarmGuard(Experiment.Plan plan) {
        routes = plan.routes();
        sides = plan.sides().size();
        harm = plan.harm();
    }

    /** The first route of which too many requests ended badly on all sides within the last seconds. */
    public Optional<Verdict.Harm> check(Totals totals, long nowMs) {
        Map<Cell, Counts> now = new HashMap<>();
        totals.overRegions()
                .forEach((cell, counts) -> now.merge(new Cell(cell.side(), cell.route(), 0), counts, Counts::plus));
        Optional<Verdict.Harm> verdict = Optional.empty();
        for (int route = 0; route < routes.size() && verdict.isEmpty(); route++) {
            if (isHarmedOnAllSides(now, route)) {
                verdict = Optional.of(new Verdict.Harm(routes.get(route)));
            }
        }
        if (nowMs - betweenMs >= WINDOW_MS) {
            earlier = between;
            between = now;
            betweenMs = nowMs;
        }
        return verdict;
    }

    private boolean isHarmedOnAllSides(Map<Cell, Counts> now, int route) {
        for (int side = 0; side < sides; side++) {
            Cell cell = new Cell(side, route, 0);
            Counts recent = now.getOrDefault(cell, Counts.NONE).minus(earlier.getOrDefault(cell, Counts.NONE));
            if (recent.requests() < LEAST_REQUESTS || recent.bad() <= harm * recent.requests()) {
                return false;
            }
        }
        return true;
    }
}
