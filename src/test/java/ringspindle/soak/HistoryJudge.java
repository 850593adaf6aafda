package ringspindle.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import ringspindle.soak.SoakHistory.Attempt;
import ringspindle.soak.SoakHistory.Led;
import ringspindle.soak.SoakHistory.Run;

/** Finds broken rules in the history of a soak. */
final class HistoryJudge {
    private static final int MISDIRECTED = 421;
    private static final Set<Integer> NOT_RUN = Set.of(408, MISDIRECTED, 429, 503);

    private static final long HALF_GRACE_NS = TimeUnit.SECONDS.toNanos(NodeProcess.GRACE_S) / 2;

    private final SoakHistory history;
    private final Map<String, String> regionOfFrontend;
    private final List<String> broken = new ArrayList<>();

    private HistoryJudge(SoakHistory history, Map<String, String> regionOfFrontend) {
        this.history = history;
        this.regionOfFrontend = regionOfFrontend;
    }

    /**
     * What was broken, empty if nothing was.
     *
     * @param plannedOnly nothing but planned work went on, so that no request that ran may be cut off
     */
    static List<String> broken(SoakHistory history, Map<String, String> regionOfFrontend, boolean plannedOnly) {
        HistoryJudge judge = new HistoryJudge(history, regionOfFrontend);
        judge.broken.addAll(history.failures());
        judge.checkDirectory();
        judge.checkRuns();
        judge.checkAnswers(plannedOnly);
        return judge.broken;
    }

    private void checkDirectory() {
        for (Led led : history.led()) {
            for (String address : led.addresses()) {
                String region = regionOfFrontend.get(address);
                if (region == null || !SoakTopology.allowed(led.host(), led.clientRegion(), region)) {
                    broken.add("HOME: a client in " + led.clientRegion() + " that asks for " + led.host()
                            + " is led to " + address + " in " + region);
                }
            }
        }
    }

    private void checkRuns() {
        Map<String, Attempt> attempts = new HashMap<>();
        history.attempts().forEach(attempt -> attempts.put(attempt.id(), attempt));
        Set<String> ran = new HashSet<>();
        for (Run run : history.runs()) {
            Attempt attempt = attempts.get(run.id());
            if (run.host().equals(SoakTopology.HOMED_HOST) && !SoakTopology.HOMES.contains(run.region())) {
                broken.add("HOME: " + run.id() + " ran in " + run.region());
            }
            if (!run.body().equals(run.id())
                    || attempt != null && !attempt.host().equals(run.host())) {
                broken.add("UNASKED: " + run.id() + " ran changed, for " + run.host() + " with " + run.body());
            }
            boolean again = !ran.add(run.id());
            if (again && (attempt == null || attempt.mutating())) {
                broken.add("TWICE: " + run.id());
            }
            if (attempt != null && attempt.mutating() && NOT_RUN.contains(attempt.status())) {
                broken.add("REFUSED: " + run.id() + " was answered " + attempt.status() + " and has run");
            }
        }
    }

    private void checkAnswers(boolean plannedOnly) {
        Map<String, Run> lastRuns = new HashMap<>();
        history.runs().forEach(run -> lastRuns.put(run.id(), run));
        for (Attempt attempt : history.attempts()) {
            Run run = lastRuns.get(attempt.id());
            boolean own = attempt.answeredBy().equals(attempt.id());
            if (attempt.status() == 200 && !(own && attempt.wholeBody() && run != null)) {
                broken.add("MIXED: " + attempt.id() + " is answered by '" + attempt.answeredBy() + "'");
            }
            boolean cut = attempt.status() == SoakHistory.NO_STATUS && run != null;
            if (plannedOnly && cut && !outlivedGrace(attempt, run)) {
                broken.add("LOST: " + attempt.id() + " ran, and " + attempt.node() + " gave no answer");
            }
        }
    }

    /** True if the engine was still at work in the second half of the grace period of the node that cut the request. */
    private boolean outlivedGrace(Attempt attempt, Run run) {
        return history.stops().stream()
                .filter(stop -> stop.frontend().equals(attempt.node()) && stop.atNs() < attempt.endedNs())
                .mapToLong(SoakHistory.Stopping::atNs)
                .max()
                .stream()
                .anyMatch(stopNs -> run.doneNs() > stopNs + HALF_GRACE_NS);
    }
}
