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
    private record PendingOutcome(Assignment assignment, AdmittedRequest admitted, ResponseTiming timing) {}

    private final ExperimentTable experiments = new ExperimentTable();
    private final OutcomeTable outcomes = new OutcomeTable();
    private final Map<String, PendingOutcome> pending = new ConcurrentHashMap<>();

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
            pending.put(actionId, new PendingOutcome(assignment, admitted, timing));
        });
    }

    /** An action ended; one that the client gave up says nothing of a policy. */
    void onEnded(TerminalEvent event, long nowMs) {
        PendingOutcome pendingOutcome = pending.remove(event.actionId());
        if (pendingOutcome == null || event.cause() == CancelCause.CLIENT_GONE) {
            return;
        }
        FleetConfig.Route route = pendingOutcome.admitted().route();
        boolean answered = event.state() == Action.State.COMPLETED && event.lastOutcome() == AttemptOutcome.ANSWERED;
        // an answer that is held until it is whole is written right after the end
        long firstWriteMs = pendingOutcome.timing().firstWriteMs() == ResponseTiming.NOT_WRITTEN && answered
                ? nowMs
                : pendingOutcome.timing().firstWriteMs();
        long firstResponseMs = firstWriteMs == ResponseTiming.NOT_WRITTEN
                ? firstWriteMs
                : firstWriteMs - pendingOutcome.admitted().receivedMs();
        boolean gapExceeded = route.tokenGapMs() > 0 && pendingOutcome.timing().longestGapMs() > route.tokenGapMs();
        boolean withinTarget = answered && firstResponseMs <= route.aimMs() && !gapExceeded;
        outcomes.add(pendingOutcome.assignment(), withinTarget, firstResponseMs, route.aimMs());
    }
}
