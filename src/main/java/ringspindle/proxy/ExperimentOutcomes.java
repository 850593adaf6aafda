package ringspindle.proxy;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import ringspindle.config.FleetConfig;
import ringspindle.experiment.Assignment;
import ringspindle.experiment.ExperimentTable;
import ringspindle.experiment.OutcomeTable;
import ringspindle.retry.Action;
import ringspindle.retry.AttemptOutcome;
import ringspindle.retry.CancelCause;
import ringspindle.retry.TerminalEvent;
import ringspindle.time.MonotonicClock;

/**
 * Experiments at this node: assigns requests as they come, and counts how those that take part ended. Without an experiment it
 * holds nothing. Thread safe.
 */
final class ExperimentOutcomes {
    private record Open(Assignment assignment, AdmittedRequest admitted, ResponseTiming timing) {}

    private final ExperimentTable experiments = new ExperimentTable();
    private final OutcomeTable outcomes = new OutcomeTable();
    private final Map<String, Open> open = new ConcurrentHashMap<>();

    ExperimentTable experiments() {
        return experiments;
    }

    OutcomeTable outcomes() {
        return outcomes;
    }

    /** What experiments say of a request, which is held to it from here on. */
    Optional<Assignment> assign(FleetConfig.Route route, String promptPrefix, long nowMs) {
        return experiments.assign(route.name(), promptPrefix, nowMs);
    }

    /** A request begins; if its outcome counts, its answer is timed. */
    void begin(String actionId, AdmittedRequest admitted, ClientResponse client, MonotonicClock clock) {
        admitted.assignment().filter(Assignment::isCounted).ifPresent(assignment -> {
            ResponseTiming timing = new ResponseTiming(clock);
            client.setTiming(timing);
            open.put(actionId, new Open(assignment, admitted, timing));
        });
    }

    /** An action ended; one that the client gave up says nothing of a policy. */
    void onEnded(TerminalEvent event, long nowMs) {
        Open ended = open.remove(event.actionId());
        if (ended == null || event.cause() == CancelCause.CLIENT_GONE) {
            return;
        }
        FleetConfig.Route route = ended.admitted().route();
        boolean answered = event.state() == Action.State.COMPLETED && event.lastOutcome() == AttemptOutcome.ANSWERED;
        // an answer that is held until it is whole is written right after the end
        long firstMs = ended.timing().firstWriteMs() == ResponseTiming.NOT_WRITTEN && answered
                ? nowMs
                : ended.timing().firstWriteMs();
        long takenMs = firstMs == ResponseTiming.NOT_WRITTEN
                ? firstMs
                : firstMs - ended.admitted().receivedMs();
        boolean paused = route.tokenGapMs() > 0 && ended.timing().longestGapMs() > route.tokenGapMs();
        boolean inTarget = answered && takenMs <= route.aimMs() && !paused;
        outcomes.add(ended.assignment(), inTarget, takenMs, route.aimMs());
    }
}
