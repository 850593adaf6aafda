package ringspindle.controlplane;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.http.HttpStatus;
import ringspindle.config.PlatformSettings;
import ringspindle.controlplane.fleet.HeadLease;
import ringspindle.controlplane.fleet.NodeContext;
import ringspindle.metering.UsageLedger;
import ringspindle.protocol.Message.Mark;
import ringspindle.protocol.Message.State;
import ringspindle.protocol.Message.View;
import ringspindle.replication.CallKind;
import ringspindle.replication.MarkKind;
import ringspindle.replication.MeteredWindow;
import ringspindle.time.FilteredWallClock;

/**
 * Reports usage to the platform while this node is the head of the view. The counts of a window are committed by a
 * majority before they are first sent, and committed counts are sent until the platform accepts them. Called by the
 * tick; responses are handled on pool threads.
 */
final class MeteringTask {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** Time after the end of a window to wait for the reports of data nodes. */
    private static final int REPORT_SETTLE_MS = 2500;

    /** Margin that a new head waits beyond the period within which the reporting role must not move back and forth. */
    private static final int TAKEOVER_MARGIN_MS = 300;

    private static final int PERIOD_TICKS = 3;
    private static final int INITIAL_BACKOFF_MS = 300;
    private static final int MAX_BACKOFF_MS = 2400;
    private static final int REJECTION_LOG_PERIOD_S = 5;
    private static final String METERING_PATH = "/metering";
    private static final long NO_WINDOW = Long.MIN_VALUE;

    private final NodeContext context;
    private final ReplicationDriver replication;
    private final ServingState serving;
    private final UsageLedger ledger;
    private final PlatformClient platform;
    private final HeadLease lease;
    private final FilteredWallClock wallClock;
    private final AtomicBoolean inProgress = new AtomicBoolean();
    /** The last window that the platform accepted from this node. */
    private volatile long lastAcceptedWindow = NO_WINDOW;

    private volatile long nextAttemptMs;
    private volatile int backoffMs = INITIAL_BACKOFF_MS;

    MeteringTask(
            NodeContext context,
            ReplicationDriver replication,
            ServingState serving,
            UsageLedger ledger,
            PlatformClient platform) {
        this.context = context;
        this.replication = replication;
        this.serving = serving;
        this.ledger = ledger;
        this.platform = platform;
        int leaseMs = context.config().platform().leaseMs();
        lease = new HeadLease(context.self(), Math.max(leaseMs, QuorumTracker.PROOF_VALIDITY_MS) + TAKEOVER_MARGIN_MS);
        wallClock = FilteredWallClock.system(context.nowMs());
    }

    /** Commits or sends the next window if it is due. */
    void tick(View view, boolean quorate, long ticks, long nowMs) {
        PlatformSettings settings = context.config().platform();
        wallClock.tick(nowMs);
        if (!settings.wants(PlatformSettings.METERING) || !lease.renew(view, quorate, nowMs)) {
            return;
        }
        if (ticks % PERIOD_TICKS != 0 || nowMs < nextAttemptMs || inProgress.get()) {
            return;
        }
        State committed = replication.committed();
        MeteredWindow lastCommitted = committed == null ? null : lastCommittedWindow(committed);
        if (lastCommitted != null && lastAcceptedWindow < lastCommitted.window()) {
            send(lastCommitted, view);
        } else {
            commitNextWindow(lastCommitted, view, settings.windowMs(), nowMs);
        }
    }

    private static MeteredWindow lastCommittedWindow(State committed) {
        for (Mark mark : committed.marks()) {
            if (MarkKind.METERING.matches(mark)) {
                return MeteredWindow.read(mark.value());
            }
        }
        return null;
    }

    private void commitNextWindow(MeteredWindow lastCommitted, View view, long windowMs, long nowMs) {
        OptionalLong first = ledger.firstWindow();
        OptionalLong newest = ledger.lastWindow();
        if (first.isEmpty() || newest.isEmpty()) {
            return;
        }
        long next = lastCommitted == null ? first.getAsLong() : lastCommitted.window() + 1;
        boolean reportsSettled = (next + 1) * windowMs + REPORT_SETTLE_MS <= wallClock.wallMs(nowMs);
        if (!reportsSettled || next > newest.getAsLong() || !inProgress.compareAndSet(false, true)) {
            return;
        }
        Map<String, Long> counts = ledger.counts(next);
        replication.call(
                CallKind.METER,
                0,
                MeteredWindow.KEY,
                new MeteredWindow(next, counts).command(view.epoch()),
                (outcome, reply) -> inProgress.set(false));
    }

    private void send(MeteredWindow window, View view) {
        if (!inProgress.compareAndSet(false, true)) {
            return;
        }
        if (!serving.quorate()) {
            // this thread may have been suspended since the tick began
            inProgress.set(false);
            return;
        }
        platform.post(
                context.config().platform().address().orElseThrow(),
                METERING_PATH,
                context.config().name(),
                view.epoch(),
                window.report(),
                status -> handleResponse(window, status));
    }

    private void handleResponse(MeteredWindow window, int status) {
        if (HttpStatus.isSuccess(status)) {
            lastAcceptedWindow = window.window();
            backoffMs = INITIAL_BACKOFF_MS;
        } else {
            nextAttemptMs = context.nowMs() + backoffMs;
            backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2);
            LOG.atWarning().atMostEvery(REJECTION_LOG_PERIOD_S, TimeUnit.SECONDS).log(
                    "platform did not accept usage window %s: status %s", window.window(), status);
        }
        inProgress.set(false);
    }
}
