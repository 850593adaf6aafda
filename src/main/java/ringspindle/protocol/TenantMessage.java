package ringspindle.protocol;

import java.util.List;

/** What nodes say to each other about tenants: leave to admit requests, and what was used. */
public sealed interface TenantMessage extends Message {
    /**
     * What a data node asks for one tenant.
     *
     * @param need requests that wait for it
     * @param extra requests that are expected shortly
     */
    record QuotaNeed(String tenant, int need, int extra) {}

    /**
     * A data node asks the head of the view for leave to admit requests; other control nodes pass it on.
     *
     * @param origin the data node
     * @param seq the number of the asking, which rises from a random number on in each process of the data node
     */
    record QuotaAsk(NodeId origin, long seq, List<QuotaNeed> rows) implements TenantMessage {}

    /**
     * What is granted to one tenant at one data node.
     *
     * @param granted requests that may be admitted
     * @param waitMs when there will be leave for another one, if less was granted than was needed
     */
    record QuotaLeave(String tenant, int granted, int waitMs) {}

    /** Answer to {@link QuotaAsk}, on the way back to the data node that it came from. */
    record QuotaGrant(NodeId origin, long seq, List<QuotaLeave> rows) implements TenantMessage {}

    /**
     * Requests of a tenant that engines began in a window, seen by one data node since its start.
     *
     * @param window the number of the window: it begins so many windows after the start of 1970
     */
    record UsageRow(long window, String tenant, long requests) {}

    /**
     * What a data node has seen of recent windows; a later report takes the place of an earlier one.
     *
     * @param life the incarnation of the process
     */
    record UsageReport(NodeId origin, long life, List<UsageRow> rows) implements TenantMessage {}
}
