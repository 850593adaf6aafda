package ringspindle.dataplane;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import ringspindle.gossip.FactStore;
import ringspindle.metering.UsageCounter;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.TenantMessage.UsageReport;
import ringspindle.protocol.TenantMessage.UsageRow;
import ringspindle.proxy.NodeServices;
import ringspindle.time.FilteredWallClock;
import ringspindle.time.MonotonicClock;
import ringspindle.transport.Mesh;

/** Counts what tenants use at this node, and tells a control node now and then. Thread safe. */
final class UsageReporter implements NodeComponent, NodeServices.UsageListener {
    private static final int PERIOD_TICKS = 7;
    /** One report in so many has all rows: 2.8 s, of the 3.3 s that a head waits that takes over. */
    private static final int WHOLE_EVERY = 4;

    private final NodeId me;
    private final long life;
    private final Mesh mesh;
    private final MonotonicClock clock;
    private final FilteredWallClock wallClock;
    private final UsageCounter counter;
    private final ControlPeers controlNodes = new ControlPeers();
    private long ticks;
    private Set<UsageRow> told = Set.of();

    /** Counts by windows of that length. */
    UsageReporter(NodeId me, long life, Mesh mesh, MonotonicClock clock, long windowMs) {
        this.me = me;
        this.life = life;
        this.mesh = mesh;
        this.clock = clock;
        wallClock = FilteredWallClock.system(clock.nowMs());
        counter = new UsageCounter(windowMs);
    }

    @Override
    public void onRequestStarted(String tenant) {
        counter.began(tenant, wallClock.wallMs(clock.nowMs()));
    }

    @Override
    public synchronized void opened(Hello peer) {
        controlNodes.opened(peer);
    }

    @Override
    public synchronized void closed(NodeId peer) {
        controlNodes.closed(peer);
    }

    @Override
    public void received(NodeId from, Message message) {
        // nothing is answered
    }

    @Override
    public void factsChanged(FactStore facts) {
        // nothing here depends on facts
    }

    /** Tells what is new; and now and then all of it, before a head that took over acts on it. */
    @Override
    public synchronized void tick(long nowMs) {
        ticks++;
        wallClock.tick(nowMs);
        Optional<NodeId> controlNode = controlNodes.current();
        if (ticks % PERIOD_TICKS != 0 || controlNode.isEmpty()) {
            return;
        }
        List<UsageRow> rows = counter.rows(wallClock.wallMs(nowMs));
        boolean whole = ticks % (WHOLE_EVERY * PERIOD_TICKS) == 0;
        List<UsageRow> due =
                whole ? rows : rows.stream().filter(row -> !told.contains(row)).toList();
        if (!due.isEmpty()) {
            told = Set.copyOf(rows);
            mesh.send(controlNode.get(), new UsageReport(me, life, due));
        }
    }
}
