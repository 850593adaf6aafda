package ringspindle.proxy;

import ringspindle.config.Tenant;

/** Enforces the request quotas of tenants, which apply across all nodes. Thread safe. */
public interface QuotaGateway {
    /** Admits every request. */
    QuotaGateway NONE = (tenant, listener) -> listener.onAdmitted();

    /** Notified of the decision about a request; exactly one method is called, once. */
    interface AdmissionListener {
        /** The request is admitted. */
        void onAdmitted();

        /** The tenant's quota is used up for now. */
        void onOverQuota(int retryAfterMs);

        /** The quota could not be checked in time. */
        void onUnavailable();
    }

    /** Counts one request against the quota; calls the listener at once on this thread, or later on one of the pool. */
    void admit(Tenant tenant, AdmissionListener listener);
}
