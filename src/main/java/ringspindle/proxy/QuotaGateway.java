package ringspindle.proxy;

import ringspindle.config.Tenant;

/** Leave to admit requests of tenants, counted over all nodes. Thread safe. */
public interface QuotaGateway {
    /** Nobody counts. */
    QuotaGateway NONE = (tenant, listener) -> listener.onAdmitted();

    /** Told what becomes of a request, once. */
    interface AdmissionListener {
        /** It may be admitted. */
        void onAdmitted();

        /** Its tenant has had what it may have for now. */
        void onOverQuota(int retryAfterMs);

        /** Nobody could say in time. */
        void onUnavailable();
    }

    /** Asks for leave to admit one request; the answer may come at once on this thread, or later on one of the pool. */
    void admit(Tenant tenant, AdmissionListener listener);
}
