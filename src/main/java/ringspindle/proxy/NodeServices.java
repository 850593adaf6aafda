package ringspindle.proxy;

/** What requests need of the rest of the fleet, as the owner of the node connects it before the proxy opens. Thread safe. */
public final class NodeServices {
    private volatile JobGateway jobs = JobGateway.NONE;
    private volatile QuotaGateway quotas = QuotaGateway.NONE;
    private volatile UsageListener usage = tenant -> {};

    /** Told of requests that engines began. */
    @FunctionalInterface
    public interface UsageListener {
        /** An engine has begun a request of that tenant: its first output is there. */
        void onRequestStarted(String tenant);
    }

    /** Passes calls about batch jobs to that gateway. */
    public void setJobs(JobGateway gateway) {
        jobs = gateway;
    }

    /** Counts requests of tenants by that gateway. */
    public void setQuotas(QuotaGateway gateway) {
        quotas = gateway;
    }

    /** Tells that listener what tenants use. */
    public void setUsage(UsageListener listener) {
        usage = listener;
    }

    JobGateway jobs() {
        return jobs;
    }

    QuotaGateway quotas() {
        return quotas;
    }

    UsageListener usage() {
        return usage;
    }
}
