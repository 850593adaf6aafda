package ringspindle.experiment;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.statistics.distribution.NormalDistribution;
import org.apache.commons.statistics.distribution.TDistribution;
import ringspindle.experiment.Comparison.Measure;
import ringspindle.experiment.Experiment.Plan;
import ringspindle.experiment.OutcomeCollector.Totals;

/**
 * Judges an experiment at one look. The unit is the group of sessions: requests of a session depend on each other, so the
 * variance of a mean is that of a ratio of sums over independent groups (delta method), with Student's distribution for
 * their number. Look k spends the part 1 / (k (k + 1)) of the error rate, which sums to one over all looks whatever their
 * number and however the looks depend on each other; within a look it is divided evenly over all comparisons.
 *
 * <p>Sources: Lan and DeMets, "Discrete sequential boundaries for clinical trials", Biometrika 70 (1983), for spending; Deng,
 * Knoblich and Lu, "Applying the delta method in metric analytics", KDD 2018, for the variance. Without state.
 */
public final class Judge {
    /** Fewer requests of a side and route are not compared. */
    private static final int LEAST_REQUESTS = 100;
    /** Fewer groups with requests are not compared. */
    private static final int LEAST_GROUPS = 12;
    /** The part of the error rate that goes into the check of shares. */
    private static final double RATIO_PART = 0.1;

    private static final double USE_WHOLE = 1000;
    private static final NormalDistribution NORMAL = NormalDistribution.of(0, 1);

    /** A mean over groups of sessions. */
    private record Mean(double value, double variance, int groups) {}

    private final Plan plan;
    private final double comparisonError;
    private final double ratioError;

    /**
     * A judge for one look.
     *
     * @param look number of the look, from 1
     * @param regions how many regions there are
     */
    public Judge(Plan plan, int look, int regions) {
        this.plan = plan;
        double spent = plan.errorRate() / ((double) look * (look + 1));
        int comparisons = (plan.sides().size() - 1) * plan.routes().size() * (regions + 1) * Measure.values().length;
        comparisonError = spent * (1 - RATIO_PART) / comparisons;
        ratioError = spent * RATIO_PART / plan.sides().size();
    }

    /** What the counts come to. */
    public Verdict judge(Totals totals) {
        Optional<Verdict> ratio = sampleRatio(totals.overRegions());
        if (ratio.isPresent()) {
            return ratio.get();
        }
        return comparisons(totals).stream()
                .filter(comparison -> comparison.exceeds(plan.margin()))
                .max(Comparator.comparingDouble(comparison -> Math.abs(comparison.difference()) - comparison.radius()))
                .<Verdict>map(this::worse)
                .orElseGet(Verdict.Undecided::new);
    }

    private Verdict worse(Comparison evidence) {
        int survivor = evidence.sideIsWorse() ? 0 : evidence.side();
        return new Verdict.Worse(plan.sides().get(survivor).name(), evidence);
    }

    /** All comparisons that there are counts enough for. */
    public List<Comparison> comparisons(Totals totals) {
        List<Comparison> comparisons = new ArrayList<>(comparisons(Comparison.ALL_REGIONS, totals.overRegions()));
        totals.byRegion().forEach((region, cells) -> comparisons.addAll(comparisons(region, cells)));
        return comparisons;
    }

    private List<Comparison> comparisons(String region, Map<Cell, Counts> cells) {
        List<Comparison> comparisons = new ArrayList<>();
        for (int route = 0; route < plan.routes().size(); route++) {
            for (int side = 1; side < plan.sides().size(); side++) {
                for (Measure measure : Measure.values()) {
                    compare(region, cells, route, side, measure).ifPresent(comparisons::add);
                }
            }
        }
        return comparisons;
    }

    private Optional<Comparison> compare(String region, Map<Cell, Counts> cells, int route, int side, Measure measure) {
        Optional<Mean> first = mean(cells, 0, route, measure);
        Optional<Mean> other = mean(cells, side, route, measure);
        if (first.isEmpty() || other.isEmpty()) {
            return Optional.empty();
        }
        double deviation = Math.sqrt(first.get().variance() + other.get().variance());
        int freedom = Math.min(first.get().groups(), other.get().groups()) - 1;
        double quantile = TDistribution.of(freedom).inverseSurvivalProbability(comparisonError / 2);
        return Optional.of(new Comparison(
                side,
                plan.routes().get(route),
                region,
                measure,
                other.get().value() - first.get().value(),
                quantile * deviation));
    }

    /** The ratio of sums and its variance over groups; empty if too little was counted. */
    private static Optional<Mean> mean(Map<Cell, Counts> cells, int side, int route, Measure measure) {
        double requests = 0;
        double sum = 0;
        int groups = 0;
        List<Counts> byGroup = new ArrayList<>();
        for (int group = 0; group < SessionAssignment.GROUPS; group++) {
            Counts counts = cells.getOrDefault(new Cell(side, route, group), Counts.NONE);
            byGroup.add(counts);
            requests += counts.requests();
            sum += value(counts, measure);
            groups += counts.requests() > 0 ? 1 : 0;
        }
        if (requests < LEAST_REQUESTS || groups < LEAST_GROUPS) {
            return Optional.empty();
        }
        double mean = sum / requests;
        double squares = 0;
        for (Counts counts : byGroup) {
            double residual = value(counts, measure) - mean * counts.requests();
            squares += residual * residual;
        }
        double variance = squares * groups / (groups - 1.0) / (requests * requests);
        return Optional.of(new Mean(mean, Math.max(variance, leastVariance(mean, requests)), groups));
    }

    /** Groups that happen to be alike must not make a mean look exact: no less than that of independent requests. */
    private static double leastVariance(double mean, double requests) {
        double bounded = Math.min(1, Math.max(mean, 1 / requests));
        return bounded * (1 - bounded / 2) / requests / 2;
    }

    private static double value(Counts counts, Measure measure) {
        return measure == Measure.BAD ? counts.bad() : counts.use() / USE_WHOLE;
    }

    /** Compares each side's part of the requests with its share, with the variance of the groups. */
    private Optional<Verdict> sampleRatio(Map<Cell, Counts> cells) {
        double[] requests = new double[plan.sides().size()];
        double[] variance = new double[plan.sides().size()];
        double total = 0;
        for (int side = 0; side < requests.length; side++) {
            double[] byGroup = new double[SessionAssignment.GROUPS];
            for (int route = 0; route < plan.routes().size(); route++) {
                for (int group = 0; group < byGroup.length; group++) {
                    byGroup[group] += cells.getOrDefault(new Cell(side, route, group), Counts.NONE)
                            .requests();
                }
            }
            requests[side] = sum(byGroup);
            variance[side] = SessionAssignment.GROUPS * variance(byGroup);
            total += requests[side];
        }
        if (total < (double) LEAST_REQUESTS * SessionAssignment.GROUPS) {
            return Optional.empty();
        }
        double critical = NORMAL.inverseSurvivalProbability(ratioError / 2);
        for (int side = 0; side < requests.length; side++) {
            double share = plan.sides().get(side).share();
            double others = sum(variance) - variance[side];
            double deviation = Math.sqrt((1 - share) * (1 - share) * variance[side] + share * share * others);
            if (Math.abs(requests[side] - share * total) > critical * Math.max(deviation, Math.sqrt(total))) {
                return Optional.of(new Verdict.SampleRatio(share, requests[side] / total));
            }
        }
        return Optional.empty();
    }

    private static double sum(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum;
    }

    private static double variance(double[] values) {
        double mean = sum(values) / values.length;
        double squares = 0;
        for (double value : values) {
            squares += (value - mean) * (value - mean);
        }
        return squares / (values.length - 1);
    }
}
