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
 * Assigns incoming requests to experiment variants at this node and counts the outcomes of the assigned ones. Keeps no
 * per-request state without an experiment. Thread safe.
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

    /** Assigns a request to a variant, which then applies to it until it ends; empty without an experiment. */
    Optional<Assignment> assign(FleetConfig.Route route, String promptPrefix, long nowMs) {
        return experiments.assign(route.name(), promptPrefix, nowMs);
    }

    /** Starts timing the response of a request whose outcome is counted. */
    void begin(String actionId, AdmittedRequest admitted, ClientResponse client, MonotonicClock clock) {
        admitted.assignment().filter(Assignment::isCounted).ifPresent(assignment -> {
            ResponseTiming timing = new ResponseTiming(clock);
            client.setTiming(timing);
            pending.put(actionId, new PendingOutcome(assignment, admitted, timing));
        });
    }

    /** Counts the outcome of an ended action, unless the client disconnected: that says nothing about a policy. */
    void onEnded(TerminalEvent event, long nowMs) {
        PendingOutcome pendingOutcome = pending.remove(event.actionId());
        if (pendingOutcome == null || event.cause() == CancelCause.CLIENT_GONE) {
            return;
        }
        FleetConfig.Route route = pendingOutcome.admitted().route();
        boolean answered = event.state() == Action.State.COMPLETED && event.lastOutcome() == AttemptOutcome.ANSWERED;
        // a response that is buffered until complete is written right after the action ends
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
