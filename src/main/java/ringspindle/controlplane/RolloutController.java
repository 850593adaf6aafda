package ringspindle.controlplane;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.google.common.flogger.FluentLogger;
import jakarta.json.Json;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.UnaryOperator;
import ringspindle.replication.Rollout;
import ringspindle.rollout.RolloutPlanner;

/** The duty of driving roll-outs; without one this costs nothing. Called by one thread. */
final class RolloutController {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final int ASK_TICKS = 6;

    /** Orders one step of a service's roll-out, and runs {@code then} once it is known what became of it. */
    interface Orders {
        void order(String service, byte[] body, Runnable then);
    }

    private final EngineReportClient reports;
    private final Orders orders;
    private final Map<String, RolloutPlanner> plans = new HashMap<>();
    private volatile boolean ordering;

    RolloutController(EngineReportClient reports, Orders orders) {
        this.reports = reports;
        this.orders = orders;
    }

    /** True while the outcome of the last order is open. */
    boolean orderPending() {
        return ordering;
    }

    /** The next order, if there is one; {@code members} gives a service's engines, {@code addresses} an engine's address. */
    void tick(
            List<Rollout> rollouts,
            Function<String, List<RolloutPlanner.Member>> members,
            UnaryOperator<String> addresses,
            long epoch,
            long ticks,
            long nowMs) {
        for (Rollout r : rollouts) {
            List<RolloutPlanner.Member> engines = members.apply(r.service());
            if (r.state() == Rollout.Standing.RUNNING && ticks % ASK_TICKS == 0) {
                r.turn().forEach(id -> reports.ask(id, addresses.apply(id)));
            }
            RolloutPlanner.Order o = plans.computeIfAbsent(r.service(), k -> new RolloutPlanner())
                    .next(r, engines, nowMs);
            if (o != null) {
                order(r.service(), o, epoch);
                return;
            }
        }
    }

    private void order(String service, RolloutPlanner.Order o, long epoch) {
        LOG.atInfo().log("roll-out of %s: %s %s %s", service, o.order(), o.id(), o.cause());
        String body = Json.createObjectBuilder()
                .add("order", o.order())
                .add("id", o.id())
                .add("cause", o.cause().name())
                .add("epoch", epoch)
                .build()
                .toString();
        ordering = true;
        orders.order(service, body.getBytes(UTF_8), () -> ordering = false);
    }
}
