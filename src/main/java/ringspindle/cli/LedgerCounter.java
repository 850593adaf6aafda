package ringspindle.cli;

import java.util.List;
import java.util.stream.Stream;

/** The counters of a request ledger, in the order of the tables. */
enum LedgerCounter {
    /** Requests that were admitted. */
    ADMITTED("admitted"),
    /** Admitted requests that a node in touch still works on. */
    IN_PROGRESS("inProgress"),
    /** Requests in progress on a node that restarted or is out of touch; no node reports this counter. */
    UNKNOWN("unknown"),
    /** Requests that got their whole result. */
    COMPLETED("completed"),
    /** Requests whose client closed the connection. */
    CLIENT_GONE("clientGone"),
    /** Requests whose deadline passed. */
    OVERDUE("overdue"),
    /** Requests that ended with their node's shutdown. */
    NODE_ENDS("nodeEnds"),
    /** Requests that were given up for any other reason. */
    GIVEN_UP("givenUp"),
    /** Attempts that were sent to engines. */
    SENT("sent"),
    /** Attempts that certainly did not run. */
    NOT_RUN("notRun"),
    /** Attempts that may have run. */
    MAY_HAVE_RUN("mayHaveRun"),
    /** Streams that were resumed on another engine. */
    RESUMED("resumed"),
    /** Requests that ran twice. */
    RUN_TWICE("runTwice");

    /** Every admitted request is in exactly one of these. */
    static final List<LedgerCounter> STATES =
            List.of(IN_PROGRESS, UNKNOWN, COMPLETED, CLIENT_GONE, OVERDUE, NODE_ENDS, GIVEN_UP);

    /** What the reports of nodes hold. */
    static final List<LedgerCounter> REPORTED =
            Stream.of(values()).filter(counter -> counter != UNKNOWN).toList();

    private final String field;

    LedgerCounter(String field) {
        this.field = field;
    }

    /** The name in JSON, and the heading of the column. */
    String field() {
        return field;
    }
}
