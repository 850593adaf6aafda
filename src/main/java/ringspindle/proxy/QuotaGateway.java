package ringspindle.proxy;

import ringspindle.config.Tenant;

/** Leave to admit requests of tenants, counted over all nodes. Thread safe. */
public interface QuotaGateway {
    /** Nobody counts. */
    QuotaGateway NONE = (tenant, answer) -> answer.granted();

    /** Told what becomes of a request, once. */
    interface Answer {
        /** It may be admitted. */
        void granted();

        /** Its tenant has had what it may have for now. */
        void overQuota(int retryAfterMs);

        /** Nobody could say in time. */
        void unknown();
    }

    /** Asks for leave to admit one request; the answer may come at once on this thread, or later on one of the pool. */
    void admit(Tenant tenant, Answer answer);
}
