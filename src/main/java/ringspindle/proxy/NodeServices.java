package ringspindle.proxy;

/** Fleet services that requests use; the node sets them before the proxy opens. Thread safe. */
public final class NodeServices {
    private volatile JobGateway jobs = JobGateway.NONE;
    private volatile QuotaGateway quotas = QuotaGateway.NONE;
    private volatile UsageListener usage = tenant -> {};

    /** Notified of requests that engines have started. */
    @FunctionalInterface
    public interface UsageListener {
        /** An engine has started a request of the tenant: its first output was received. */
        void onRequestStarted(String tenant);
    }

    /** Sets the gateway that handles batch job calls. */
    public void setJobs(JobGateway gateway) {
        jobs = gateway;
    }

    /** Sets the gateway that counts tenants' requests against their quotas. */
    public void setQuotas(QuotaGateway gateway) {
        quotas = gateway;
    }

    /** Sets the listener that records tenants' usage. */
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
