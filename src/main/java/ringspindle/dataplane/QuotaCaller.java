package ringspindle.dataplane;

import java.util.List;
import java.util.concurrent.Executor;
import ringspindle.config.Tenant;
import ringspindle.gossip.FactStore;
import ringspindle.protocol.Message;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.TenantMessage.QuotaAsk;
import ringspindle.protocol.TenantMessage.QuotaGrant;
import ringspindle.proxy.QuotaGateway;
import ringspindle.quota.TenantTokens;
import ringspindle.time.MonotonicClock;
import ringspindle.transport.Mesh;

/**
 * Asks for leave to admit requests, through a control node that this node has a session with. Owns the tokens at hand and who waits
 * for some; guarded by a lock of its own, under which no other is taken. Waiters are told by threads of the pool.
 */
final class QuotaCaller implements QuotaGateway, NodeComponent {
    private final Object lock = new Object();
    private final NodeId me;
    private final Mesh mesh;
    private final Executor pool;
    private final MonotonicClock clock;
    private final TenantTokens<AdmissionListener> tokens;
    private final ControlPeers controlNodes = new ControlPeers();

    /**
     * Creates a caller without tokens at hand.
     *
     * @param startSeq as for {@link TenantTokens}
     */
    QuotaCaller(NodeId me, Mesh mesh, Executor pool, MonotonicClock clock, long startSeq) {
        tokens = new TenantTokens<>(startSeq);
        this.me = me;
        this.mesh = mesh;
        this.pool = pool;
        this.clock = clock;
    }

    @Override
    public void admit(Tenant tenant, AdmissionListener answer) {
        if (!tenant.isLimited()) {
            answer.onAdmitted();
            return;
        }
        boolean atHand;
        long nowMs = clock.nowMs();
        synchronized (lock) {
            atHand = tokens.take(tenant.name(), answer, nowMs);
            askIfDue(nowMs);
        }
        if (atHand) {
            answer.onAdmitted();
        }
    }

    private void askIfDue(long nowMs) {
        if (!tokens.isAskDue()) {
            return;
        }
        controlNodes
                .current()
                .ifPresent(node -> mesh.send(node, new QuotaAsk(me, tokens.seq() + 1, tokens.ask(nowMs))));
    }

    private void tell(List<TenantTokens.Told<AdmissionListener>> told) {
        for (TenantTokens.Told<AdmissionListener> each : told) {
            pool.execute(() -> tell(each));
        }
    }

    private static void tell(TenantTokens.Told<AdmissionListener> told) {
        switch (told.verdict()) {
            case GRANTED -> told.waiter().onAdmitted();
            case OVER_QUOTA -> told.waiter().onOverQuota(told.retryAfterMs());
            case UNKNOWN -> told.waiter().onUnavailable();
        }
    }

    @Override
    public void opened(Hello peer) {
        synchronized (lock) {
            controlNodes.opened(peer);
        }
    }

    @Override
    public void closed(NodeId peer) {
        synchronized (lock) {
            controlNodes.closed(peer);
        }
    }

    @Override
    public void received(NodeId from, Message message) {
        if (message instanceof QuotaGrant grant) {
            long nowMs = clock.nowMs();
            synchronized (lock) {
                tell(tokens.granted(grant.seq(), grant.rows(), nowMs));
                askIfDue(nowMs);
            }
        }
    }

    @Override
    public void factsChanged(FactStore facts) {
        // limits are known where tokens are granted
    }

    @Override
    public void tick(long nowMs) {
        synchronized (lock) {
            boolean unanswered = tokens.isOverdue(nowMs);
            tell(tokens.tick(nowMs));
            if (unanswered) {
                // the next one may be nearer to whoever grants
                controlNodes.rotate();
            }
            askIfDue(nowMs);
        }
    }
}
