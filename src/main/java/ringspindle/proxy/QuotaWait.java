package ringspindle.proxy;

import java.util.concurrent.atomic.AtomicBoolean;
import ringspindle.api.Outcome;
import ringspindle.config.Tenant;

/**
 * A request that counts as active and waits for leave of its tenant's quota. It goes on, or is refused, once: whichever of the
 * answer and the node's end comes first.
 */
final class QuotaWait implements QuotaGateway.Answer, ActiveRequests.Cancellable {
    /** Default: when a client may come back whose request could not be counted. */
    private static final int UNKNOWN_RETRY_MS = 300;

    private final ProxyHandler proxy;
    private final ActiveRequests active;
    private final IncomingRequest incoming;
    private final Runnable granted;
    private final String id;
    private final AtomicBoolean over = new AtomicBoolean();

    QuotaWait(ProxyHandler proxy, ActiveRequests active, IncomingRequest incoming, Runnable granted) {
        this.proxy = proxy;
        this.active = active;
        this.incoming = incoming;
        this.granted = granted;
        id = "quota-" + proxy.nextActionId();
    }

    void ask(Tenant tenant) {
        active.track(id, this);
        proxy.services().quotas().admit(tenant, this);
    }

    @Override
    public void granted() {
        if (over.compareAndSet(false, true)) {
            active.untrack(id);
            granted.run();
        }
    }

    @Override
    public void overQuota(int retryAfterMs) {
        refuse(Outcome.OVER_QUOTA, retryAfterMs);
    }

    @Override
    public void unknown() {
        refuse(Outcome.UNCLEAR, UNKNOWN_RETRY_MS);
    }

    @Override
    public void onNodeTermination() {
        refuse(Outcome.LEAVING, proxy.shutdownRetryAfterMs());
    }

    private void refuse(Outcome outcome, int retryAfterMs) {
        if (over.compareAndSet(false, true)) {
            active.end(id);
            incoming.client().respond(outcome, retryAfterMs, proxy.isShuttingDown());
        }
    }
}
