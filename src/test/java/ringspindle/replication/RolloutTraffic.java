package ringspindle.replication;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import ringspindle.loadbalancing.LoadBalancer;
import ringspindle.loadbalancing.LoadBalancer.SelectedEngine;
import ringspindle.loadbalancing.LoadBalancer.Selection;
import ringspindle.loadbalancing.LoadBalancer.SelectionRequest;
import ringspindle.loadbalancing.SelectionRequests;
import ringspindle.retry.Action;
import ringspindle.retry.Attempt;
import ringspindle.retry.AttemptOutcome;
import ringspindle.retry.CancelCause;
import ringspindle.retry.RetryDecision;
import ringspindle.retry.RetryPolicy;

/** Requests of a {@link RolloutSimulation} on their way through load balancers, actions and engines. */
final class RolloutTraffic {
    private static final long DEADLINE_MS = 4000;

    /** One attempt, and the engine that runs it. */
    static final class Run {
        RolloutRequest request;
        Action action;
        Attempt attempt;
        SelectionRequest ask;
        LoadBalancer picker;
        RolloutEngine engine;
        long endMs;
        int pieces;
    }

    private final RolloutSimulation simulation;

    RolloutTraffic(RolloutSimulation simulation) {
        this.simulation = simulation;
    }

    /** A request comes in at a data node. */
    void receive(RolloutRequest request, LoadBalancer picker) {
        picker.onRequestReceived("s", simulation.nowMs());
        place(request, Action.open("a", simulation.nowMs(), DEADLINE_MS, end -> {}), picker, new HashSet<>());
    }

    private static RetryPolicy policy(RolloutRequest request) {
        return new RetryPolicy(request.resumable, request.resumable, request.resumable ? 2 : 1);
    }

    private void place(RolloutRequest request, Action action, LoadBalancer picker, Set<String> tried) {
        if (!action.isLive(simulation.nowMs())) {
            close(request, action, false);
            return;
        }
        long weights = request.weights.isEmpty() ? -1 : request.weights.get(0);
        SelectionRequest ask = SelectionRequests.of("s")
                .allowedRegions(request.homes)
                .prompt(0, 0, 200)
                .output(50)
                .excluding(tried)
                .weightsVersion(weights)
                .random(simulation.random.nextLong())
                .build();
        Selection selection = picker.select(ask, simulation.nowMs());
        if (!(selection instanceof SelectedEngine chosen)) {
            if (request.pieces.isEmpty() && !action.mayHaveRun()) {
                request.refused = true;
                action.cancel(CancelCause.GIVEN_UP, simulation.nowMs());
            } else {
                close(request, action, false);
            }
            return;
        }
        Run run = new Run();
        run.request = request;
        run.action = action;
        run.ask = ask;
        run.picker = picker;
        run.attempt = action.startAttempt(simulation.nowMs(), 0);
        run.engine = simulation.engines.get(chosen.id());
        tried.add(chosen.id());
        if (run.engine != null
                && simulation.cut(run.engine.region.equals(simulation.pickers.indexOf(picker) % 2 == 0 ? "a" : "b"))) {
            // no connection comes up over the cut: nothing was sent
            simulation.in(10, () -> ended(run, AttemptOutcome.NOT_SENT));
            return;
        }
        run.attempt.markSent();
        if (run.engine == null || run.engine.down) {
            RolloutEngine gone = run.engine;
            simulation.in(10, () -> ended(run, gone == null ? AttemptOutcome.MISDIRECTED : AttemptOutcome.BROKEN));
            return;
        }
        if (weights >= 0 && run.engine.weights != weights) {
            // Expected-Revision: the engine answers 421 and does not run it
            simulation.in(10, () -> ended(run, AttemptOutcome.NOT_RUN));
            return;
        }
        if (!request.homes.isEmpty() && !request.homes.contains(run.engine.region)) {
            simulation.wrong.add("a request left its homes");
        }
        if (!request.resumable && !request.ran.isEmpty()) {
            simulation.wrong.add("a request that may run once ran again");
        }
        request.ran.add(run.engine.id);
        run.endMs = simulation.nowMs() + 50 + simulation.random.nextInt(1200);
        run.engine.running.add(run);
    }

    /** The engine goes on with what it runs. */
    void serve(RolloutEngine engine) {
        for (Run run : new ArrayList<>(engine.running)) {
            if (simulation.nowMs() % 50 == 0) {
                piece(run, engine);
            }
            if (simulation.nowMs() >= run.endMs) {
                engine.running.remove(run);
                if (run.request.pieces.isEmpty() || run.pieces == 0) {
                    piece(run, engine);
                }
                run.picker.onAttemptEnded(engine.id, run.ask, AttemptOutcome.ANSWERED, 10, simulation.nowMs());
                run.action.endAttempt(run.attempt, AttemptOutcome.ANSWERED, policy(run.request), simulation.nowMs());
                close(run.request, run.action, true);
            }
        }
    }

    private void piece(Run run, RolloutEngine engine) {
        run.pieces++;
        run.request.pieces.add((long) run.request.pieces.size() + 1);
        run.request.weights.add(engine.weights);
        run.action.commitResponse();
    }

    /** An attempt came to an end without a whole answer. */
    void ended(Run run, AttemptOutcome end) {
        run.picker.onAttemptEnded(
                run.ask == null ? "" : run.engine == null ? "" : run.engine.id, run.ask, end, -1, simulation.nowMs());
        RetryDecision decision = run.action.endAttempt(run.attempt, end, policy(run.request), simulation.nowMs());
        Set<String> tried = new HashSet<>(run.ask.excludedEngineIds());
        if (run.engine != null) {
            tried.add(run.engine.id);
        }
        if ((decision == RetryDecision.FALLBACK || decision == RetryDecision.RESUME)
                && run.picker.tryAcquireRetry("s", simulation.nowMs())) {
            place(run.request, run.action, run.picker, tried);
        } else if (decision == RetryDecision.REFUSE || decision == RetryDecision.FALLBACK && !run.action.mayHaveRun()) {
            run.request.refused = true;
            run.action.cancel(CancelCause.GIVEN_UP, simulation.nowMs());
        } else if (decision != RetryDecision.NOTHING) {
            close(run.request, run.action, false);
        }
    }

    private void close(RolloutRequest request, Action action, boolean whole) {
        boolean won =
                whole ? action.complete(simulation.nowMs()) : action.cancel(CancelCause.GIVEN_UP, simulation.nowMs());
        if (won) {
            request.answers++;
            request.whole = whole;
            request.brokenOff = !whole;
        }
    }
}
