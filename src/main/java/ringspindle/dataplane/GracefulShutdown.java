package ringspindle.dataplane;

import com.google.common.flogger.FluentLogger;
import ringspindle.logging.LogField;
import ringspindle.proxy.ProxyHandler;
import ringspindle.time.MonotonicClock;

/**
 * The way down of a data node: tells peers, serves on as {@link DeparturePlan} says, takes no more connections, waits until
 * nothing is under way, and at the end of the grace time gives what still is its final answer. Afterwards the process may end
 * at once; it closes its sockets by ending.
 */
final class GracefulShutdown {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    /** Of the grace period, what is left for final answers and for the end of the process. */
    private static final int RESERVED_MS = 700;
    /** Of a short one at most this part is, so that what is ended by force is so as late as can be. */
    private static final int RESERVED_PART = 8;

    private static final int STEP_MS = 50;
    /** No request was under way for so long: none is on its way on an open connection. */
    private static final int IDLE_MS = 200;
    /** Whoever was answered last gets so long to read it. */
    private static final int FLUSH_MS = 100;

    private final ProxyHandler proxy;
    private final DataNode node;
    private final MonotonicClock clock;

    GracefulShutdown(ProxyHandler proxy, DataNode node, MonotonicClock clock) {
        this.proxy = proxy;
        this.node = node;
        this.clock = clock;
    }

    /**
     * Returns when the process may end.
     *
     * @param graceMs how long the platform waits before it kills the process
     */
    void run(long graceMs) throws InterruptedException {
        long sinceMs = clock.nowMs();
        long endMs = sinceMs + graceMs - Math.min(RESERVED_MS, graceMs / RESERVED_PART);
        proxy.beginShutdown(endMs);
        node.leave();
        LOG.atInfo().with(LogField.COUNT, proxy.activeRequests()).log("data plane shuts down with requests in flight");
        awaitDeparture(new DeparturePlan(sinceMs, endMs));
        proxy.stopAccepting();
        node.announce();
        LOG.atInfo()
                .with(LogField.ELAPSED_MS, clock.nowMs() - sinceMs)
                .with(LogField.COUNT, proxy.activeRequests())
                .log("data plane takes no more connections");
        awaitIdle(endMs);
        long cut = proxy.cancelActiveRequests();
        Thread.sleep(FLUSH_MS);
        LOG.atInfo()
                .with(LogField.ELAPSED_MS, clock.nowMs() - sinceMs)
                .with(LogField.COUNT, cut)
                .log("data plane ends, with requests ended by it");
    }

    private void awaitDeparture(DeparturePlan plan) throws InterruptedException {
        RegionCoverage coverage = node.coverage();
        while (!plan.isOver(clock.nowMs(), coverage)) {
            proxy.setLastInRegion(plan.hasStayed());
            Thread.sleep(STEP_MS);
            coverage = node.coverage();
        }
    }

    /** Waits until no request has been active for a moment and none can begin any more, and no longer than to that time. */
    private void awaitIdle(long endMs) throws InterruptedException {
        long busyMs = clock.nowMs();
        while (clock.nowMs() < endMs) {
            Thread.sleep(STEP_MS);
            if (proxy.activeRequests() > 0) {
                busyMs = clock.nowMs();
            } else if (clock.nowMs() - busyMs >= IDLE_MS && proxy.closeIfIdle()) {
                return;
            }
        }
    }
}
