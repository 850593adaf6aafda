package ringspindle.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import ringspindle.protocol.Message.LedgerReport;
import ringspindle.protocol.Message.LedgerRow;
import ringspindle.retry.CancelCause;
import ringspindle.retry.TerminalEvent;

/**
 * Counts the actions of a data node by rules revision and class: admitted, in progress, ended by cause, and the results
 * of their attempts. It stores no prompts, bodies or client names. Thread safe.
 */
public final class RequestLedger {
    /** A violated invariant. The names are part of status documents. */
    public enum Violation {
        /** The admitted count differs from the sum of actions in progress and ended. */
        SUM,
        /** A non-repeatable action had more than one attempt that may have run. */
        RUN_TWICE,
        /** An action had two terminal events, or one without admission, or was admitted again while open. */
        ENDED_TWICE
    }

    private static final class OpenAction {
        final ClassCounters counters;
        final boolean idempotent;
        int sent;
        int notRun;

        OpenAction(ClassCounters counters, boolean idempotent) {
            this.counters = counters;
            this.idempotent = idempotent;
        }

        int mayHaveRun() {
            return sent - notRun;
        }
    }

    /** Counters of one class under one rules revision. */
    private static final class ClassCounters {
        final long revision;
        final String requestClass;
        long admitted;
        long inProgress;
        long completed;
        long clientGone;
        long overdue;
        long nodeEnds;
        long givenUp;
        long sent;
        long notRun;
        long mayHaveRun;
        long resumed;
        long runTwice;

        ClassCounters(long revision, String requestClass) {
            this.revision = revision;
            this.requestClass = requestClass;
        }

        /** Counts the end of an action; a null cause means that it completed. */
        void countEnd(CancelCause cause) {
            inProgress--;
            if (cause == null) {
                completed++;
                return;
            }
            switch (cause) {
                case CLIENT_GONE -> clientGone++;
                case OVERALL_DEADLINE -> overdue++;
                case NODE_ENDS -> nodeEnds++;
                case GIVEN_UP -> givenUp++;
            }
        }

        LedgerRow toRow() {
            return new LedgerRow(
                    revision,
                    admitted,
                    inProgress,
                    completed,
                    clientGone,
                    overdue,
                    nodeEnds,
                    givenUp,
                    sent,
                    notRun,
                    mayHaveRun,
                    resumed,
                    runTwice,
                    requestClass);
        }
    }

    private final Map<String, OpenAction> openActions = new HashMap<>();
    /** Keyed by revision and class as text; reports list them in key order. */
    private final Map<String, ClassCounters> countersByClass = new TreeMap<>();

    private long endedTwice;

    /**
     * Records the admission of an action.
     *
     * @param revision rules revision that applies to the action, 0 without rules
     * @param idempotent whether the request may run more than once
     */
    public synchronized void onAdmitted(String actionId, long revision, String requestClass, boolean idempotent) {
        ClassCounters counters = countersByClass.computeIfAbsent(
                revision + " " + requestClass, key -> new ClassCounters(revision, requestClass));
        if (openActions.putIfAbsent(actionId, new OpenAction(counters, idempotent)) != null) {
            endedTwice++;
            return;
        }
        counters.admitted++;
        counters.inProgress++;
    }

    /** Records that an attempt is sent to an engine, possibly to resume an earlier one. */
    public synchronized void onSent(String actionId, boolean resumes) {
        OpenAction action = openActions.get(actionId);
        if (action == null) {
            return;
        }
        action.sent++;
        action.counters.sent++;
        action.counters.resumed += resumes ? 1 : 0;
    }

    /** Records that the engine reported a sent attempt as not run. */
    public synchronized void onNotRun(String actionId) {
        OpenAction action = openActions.get(actionId);
        if (action == null) {
            return;
        }
        action.notRun++;
        action.counters.notRun++;
    }

    /** Records the terminal event of an action. */
    public synchronized void onEnded(TerminalEvent event) {
        OpenAction action = openActions.remove(event.actionId());
        if (action == null) {
            endedTwice++;
            return;
        }
        ClassCounters counters = action.counters;
        counters.countEnd(event.cause());
        counters.mayHaveRun += action.mayHaveRun();
        counters.runTwice += !action.idempotent && action.mayHaveRun() > 1 ? 1 : 0;
    }

    /**
     * Returns the report of this node.
     *
     * @param life the node's incarnation
     * @param seq sequence number of the report within the incarnation
     * @param revision revision of the active rules, 0 without rules
     * @param digest digest of the active rules, 0 without rules
     */
    public synchronized LedgerReport report(long life, long seq, long revision, long digest) {
        List<LedgerRow> rows = new ArrayList<>();
        countersByClass.values().forEach(counters -> rows.add(counters.toRow()));
        return new LedgerReport(life, seq, revision, digest, endedTwice, rows);
    }

    /** Returns the invariants that a report violates, empty if it is consistent. */
    public static Set<Violation> violations(LedgerReport report) {
        Set<Violation> violations = new TreeSet<>();
        if (report.endedTwice() > 0) {
            violations.add(Violation.ENDED_TWICE);
        }
        for (LedgerRow row : report.rows()) {
            if (row.admitted() != row.inProgress() + ended(row)) {
                violations.add(Violation.SUM);
            }
            if (row.runTwice() > 0) {
                violations.add(Violation.RUN_TWICE);
            }
        }
        return violations;
    }

    private static long ended(LedgerRow row) {
        return row.completed() + row.clientGone() + row.overdue() + row.nodeEnds() + row.givenUp();
    }
}
