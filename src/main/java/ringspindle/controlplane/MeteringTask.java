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
 * Has the head of the view report usage to the platform: the counts of a window are decided by a majority before they are first sent,
 * and what was decided is sent until it is taken. Called by the tick; answers come on threads of the pool.
 */
final class MeteringTask {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    /** Reports of data nodes are waited for so long after the end of a window. */
    private static final int SETTLE_MS = 2500;

    /** What a head that takes over waits beyond the time within which the role must not go back and forth. */
    private static final int TAKEOVER_MARGIN_MS = 300;

    private static final int PERIOD_TICKS = 3;
    private static final int BACKOFF_MS = 300;
    private static final int BACKOFF_MAX_MS = 2400;
    private static final String PATH = "/metering";
    private static final long NONE = Long.MIN_VALUE;

    private final NodeContext context;
    private final ReplicationDriver replication;
    private final ServingState serving;
    private final UsageLedger ledger;
    private final PlatformClient platform;
    private final HeadLease lease;
    private final FilteredWallClock wallClock;
    private final AtomicBoolean busy = new AtomicBoolean();
    /** The last window that the platform took from this node. */
    private volatile long taken = NONE;

    private volatile long notBeforeMs;
    private volatile int backoffMs = BACKOFF_MS;

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
        lease = new HeadLease(context.self(), Math.max(leaseMs, QuorumTracker.VALID_MS) + TAKEOVER_MARGIN_MS);
        wallClock = FilteredWallClock.system(context.nowMs());
    }

    /** Decides or sends what is due. */
    void tick(View view, boolean quorate, long ticks, long nowMs) {
        PlatformSettings settings = context.config().platform();
        wallClock.tick(nowMs);
        if (!settings.wants(PlatformSettings.METERING) || !lease.renew(view, quorate, nowMs)) {
            return;
        }
        if (ticks % PERIOD_TICKS != 0 || nowMs < notBeforeMs || busy.get()) {
            return;
        }
        State committed = replication.committed();
        MeteredWindow last = committed == null ? null : last(committed);
        if (last != null && taken < last.window()) {
            send(last, view);
        } else {
            decide(last, view, settings.windowMs(), nowMs);
        }
    }

    private static MeteredWindow last(State committed) {
        for (Mark mark : committed.marks()) {
            if (MarkKind.METERING.matches(mark)) {
                return MeteredWindow.read(mark.value());
            }
        }
        return null;
    }

    private void decide(MeteredWindow last, View view, long windowMs, long nowMs) {
        OptionalLong first = ledger.firstWindow();
        OptionalLong newest = ledger.lastWindow();
        if (first.isEmpty() || newest.isEmpty()) {
            return;
        }
        long next = last == null ? first.getAsLong() : last.window() + 1;
        boolean settled = (next + 1) * windowMs + SETTLE_MS <= wallClock.wallMs(nowMs);
        if (!settled || next > newest.getAsLong() || !busy.compareAndSet(false, true)) {
            return;
        }
        Map<String, Long> counts = ledger.counts(next);
        replication.call(
                CallKind.METER,
                0,
                MeteredWindow.KEY,
                new MeteredWindow(next, counts).command(view.epoch()),
                (outcome, body) -> busy.set(false));
    }

    private void send(MeteredWindow window, View view) {
        if (!busy.compareAndSet(false, true)) {
            return;
        }
        if (!serving.quorate()) {
            // this thread may have stood still since the tick began
            busy.set(false);
            return;
        }
        platform.post(
                context.config().platform().address().orElseThrow(),
                PATH,
                context.config().name(),
                view.epoch(),
                window.report(),
                status -> answered(window, status));
    }

    private void answered(MeteredWindow window, int status) {
        if (HttpStatus.isSuccess(status)) {
            taken = window.window();
            backoffMs = BACKOFF_MS;
        } else {
            notBeforeMs = context.nowMs() + backoffMs;
            backoffMs = Math.min(BACKOFF_MAX_MS, backoffMs * 2);
            LOG.atWarning().atMostEvery(5, TimeUnit.SECONDS).log(
                    "the platform does not take window %s: %s", window.window(), status);
        }
        busy.set(false);
    }
}
