package ringspindle.loadbalancing;

import java.util.HashMap;
import java.util.Map;
import ringspindle.config.NodeConfig;

/**
 * Limits the retries that this node sends to each service to a ratio of the requests received within a sliding window,
 * plus this node's share of a fixed slack while it has a lease. Confined to the lock of {@link
 * EngineTableLoadBalancer}.
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

    /** Takes a retry from the budget; false if none is left. */
    boolean tryAcquire(String service, long nowMs) {
        RequestWindow window = window(service, nowMs);
        int windowS = (int) Math.ceil(settings.retryWindowS());
        double slack = quotaShare.hasLease(nowMs)
                ? QuotaShare.USED_FRACTION * settings.retrySlack() / quotaShare.nodes(nowMs)
                : 0;
        double earned = QuotaShare.USED_FRACTION * settings.retryRatio() * window.requests(windowS);
        // one second more, because an external observer's window need not start at a full second
        if (window.retries(windowS + 1) + 1 > earned + slack) {
            refused++;
            return false;
        }
        granted++;
        window.countRetry();
        return true;
    }

    /** Returns the number of retries granted since process start. */
    long granted() {
        return granted;
    }

    /** Returns the number of retries refused since process start. */
    long refused() {
        return refused;
    }

    private RequestWindow window(String service, long nowMs) {
        RequestWindow window = byService.computeIfAbsent(service, name -> new RequestWindow());
        window.advance(nowMs);
        return window;
    }
}
