package ringspindle.proxy;

import java.util.concurrent.atomic.AtomicBoolean;
import ringspindle.api.Outcome;
import ringspindle.config.Tenant;

/**
 * Quota check of a request that already counts as active. The request continues or is rejected once, by the decision
 * about the quota or the shutdown of the node, whichever comes first.
 */
final class QuotaCheck implements QuotaGateway.AdmissionListener, ActiveRequests.Cancellable {
    /** Retry delay that a client is told whose quota could not be checked. */
    private static final int UNAVAILABLE_RETRY_AFTER_MS = 300;

    private final ProxyHandler proxy;
    private final ActiveRequests active;
    private final IncomingRequest incoming;
    private final Runnable continuation;
    private final String id;
    private final AtomicBoolean ended = new AtomicBoolean();

    QuotaCheck(ProxyHandler proxy, ActiveRequests active, IncomingRequest incoming, Runnable continuation) {
        this.proxy = proxy;
        this.active = active;
        this.incoming = incoming;
        this.continuation = continuation;
        id = "quota-" + proxy.nextActionId();
    }

    void start(Tenant tenant) {
        active.track(id, this);
        proxy.services().quotas().admit(tenant, this);
    }

    @Override
    public void onAdmitted() {
        if (ended.compareAndSet(false, true)) {
            active.untrack(id);
            continuation.run();
        }
    }

    @Override
    public void onOverQuota(int retryAfterMs) {
        refuse(Outcome.OVER_QUOTA, retryAfterMs);
    }

    @Override
    public void onUnavailable() {
        refuse(Outcome.UNCLEAR, UNAVAILABLE_RETRY_AFTER_MS);
    }

    @Override
    public void onNodeTermination() {
        refuse(Outcome.LEAVING, proxy.shutdownRetryAfterMs());
    }

    private void refuse(Outcome outcome, int retryAfterMs) {
        if (ended.compareAndSet(false, true)) {
            active.end(id);
            incoming.client().respond(outcome, retryAfterMs, proxy.isShuttingDown());
        }
    }
}
