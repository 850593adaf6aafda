package ringspindle.loadbalancing;

import java.util.HashMap;
import java.util.Map;
import ringspindle.config.NodeConfig;

/**
 * Retries that this node may still send to each service: a ratio of the requests it received within a sliding window, and
 * its share of a fixed slack while it holds a lease. Confined to the lock of {@link EngineTableLoadBalancer}.
 */
final class RetryBudget {
    private final Map<String, RequestWindow> byService = new HashMap<>();
    private final QuotaShare quotaShare;
    private NodeConfig settings;
    private long granted;
    private long refused;

    RetryBudget(NodeConfig settings, QuotaShare quotaShare) {
        this.settings = settings;
        this.quotaShare = quotaShare;
    }

    void updateSettings(NodeConfig newSettings) {
        settings = newSettings;
    }

    void onRequestReceived(String service, long nowMs) {
        window(service, nowMs).countRequest();
    }

    /** Counts a retry if the budget has one left; returns whether it had. */
    boolean tryAcquire(String service, long nowMs) {
        RequestWindow window = window(service, nowMs);
        int windowS = (int) Math.ceil(settings.retryWindowS());
        double slack =
                quotaShare.hasLease(nowMs) ? QuotaShare.USED_PART * settings.retrySlack() / quotaShare.nodes(nowMs) : 0;
        double earned = QuotaShare.USED_PART * settings.retryRatio() * window.requests(windowS);
        // one second more, as the seconds here are not the windows of whoever counts
        if (window.retries(windowS + 1) + 1 > earned + slack) {
            refused++;
            return false;
        }
        granted++;
        window.countRetry();
        return true;
    }

    /** Retries that were granted since the start. */
    long granted() {
        return granted;
    }

    /** Retries that were refused since the start. */
    long refused() {
        return refused;
    }

    private RequestWindow window(String service, long nowMs) {
        RequestWindow window = byService.computeIfAbsent(service, name -> new RequestWindow());
        window.advance(nowMs);
        return window;
    }
}
