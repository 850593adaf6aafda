package ringspindle.controlplane;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.flogger.FluentLogger;
import jakarta.json.Json;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import ringspindle.logging.LogField;
import ringspindle.replication.Rollout;
import ringspindle.rollout.RolloutPlanner;

/** Drives rollouts, one command at a time. Does nothing without a rollout. Called only by the tick. */
final class RolloutController {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int REPORT_REQUEST_TICKS = 6;

    /** Submits commands to the replicated state. */
    @FunctionalInterface
    interface CommandSubmitter {
        /** Submits one step of the rollout of a service, and runs {@code completed} once its outcome is known. */
        void submit(String service, byte[] command, Runnable completed);
    }

    private final EngineReportClient reports;
    private final CommandSubmitter submitter;
    private final Map<String, RolloutPlanner> planners = new HashMap<>();
    /** Written by the tick and by the thread that receives the outcome. */
    private volatile boolean commandPending;

    RolloutController(EngineReportClient reports, CommandSubmitter submitter) {
        this.reports = reports;
        this.submitter = submitter;
    }

    /** Returns true while the outcome of the last command is pending. */
    boolean commandPending() {
        return commandPending;
    }

    /**
     * Submits the next command, if there is one.
     *
     * @param membersOf returns the engines of a service
     * @param addressOf returns the address of an engine, null if it is unknown
     */
    void tick(
            List<Rollout> rollouts,
            Function<String, List<RolloutPlanner.Member>> membersOf,
            UnaryOperator<String> addressOf,
            long epoch,
            long ticks,
            long nowMs) {
        for (Rollout rollout : rollouts) {
            List<RolloutPlanner.Member> engines = membersOf.apply(rollout.service());
            if (rollout.status() == Rollout.Status.RUNNING && ticks % REPORT_REQUEST_TICKS == 0) {
                rollout.swapping().forEach(id -> reports.request(id, addressOf.apply(id)));
            }
            RolloutPlanner planner = planners.computeIfAbsent(rollout.service(), service -> new RolloutPlanner());
            RolloutPlanner.Order order = planner.next(rollout, engines, nowMs);
            if (order != null) {
                submit(rollout.service(), order, epoch);
                return;
            }
        }
    }

    private void submit(String service, RolloutPlanner.Order order, long epoch) {
        LOG.atInfo()
                .with(LogField.SERVICE, service)
                .with(LogField.ENGINE, order.id())
                .with(LogField.REASON, order.cause())
                .log("submitting rollout command: %s", order.order());
        String body = Json.createObjectBuilder()
                .add("order", order.order())
                .add("id", order.id())
                .add("cause", order.cause().name())
                .add("epoch", epoch)
                .build()
                .toString();
        commandPending = true;
        submitter.submit(service, body.getBytes(UTF_8), () -> commandPending = false);
    }
}
