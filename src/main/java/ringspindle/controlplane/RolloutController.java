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

/** Drives roll-outs one order at a time; without one this costs nothing. Called by the tick alone. */
final class RolloutController {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int REPORT_TICKS = 6;

    /** Where orders go. */
    @FunctionalInterface
    interface Orders {
        /** Orders one step of a service's roll-out, and runs {@code completed} once it is known what became of it. */
        void submit(String service, byte[] order, Runnable completed);
    }

    private final EngineReportClient reports;
    private final Orders orders;
    private final Map<String, RolloutPlanner> planners = new HashMap<>();
    /** Written by the tick, and by the thread that learns the outcome. */
    private volatile boolean orderPending;

    RolloutController(EngineReportClient reports, Orders orders) {
        this.reports = reports;
        this.orders = orders;
    }

    /** True while the outcome of the last order is open. */
    boolean orderPending() {
        return orderPending;
    }

    /**
     * Gives the next order, if there is one.
     *
     * @param members the engines of a service
     * @param addresses an engine's address, null if it is not known
     */
    void tick(
            List<Rollout> rollouts,
            Function<String, List<RolloutPlanner.Member>> members,
            UnaryOperator<String> addresses,
            long epoch,
            long ticks,
            long nowMs) {
        for (Rollout rollout : rollouts) {
            List<RolloutPlanner.Member> engines = members.apply(rollout.service());
            if (rollout.status() == Rollout.Status.RUNNING && ticks % REPORT_TICKS == 0) {
                rollout.swapping().forEach(id -> reports.request(id, addresses.apply(id)));
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
                .log("roll-out order: %s", order.order());
        String body = Json.createObjectBuilder()
                .add("order", order.order())
                .add("id", order.id())
                .add("cause", order.cause().name())
                .add("epoch", epoch)
                .build()
                .toString();
        orderPending = true;
        orders.submit(service, body.getBytes(UTF_8), () -> orderPending = false);
    }
}
