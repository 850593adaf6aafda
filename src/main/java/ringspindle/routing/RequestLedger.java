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
 * A data node's own record of its actions, by revision of the rules and class: what was admitted, what is in progress, how
 * the rest ended, and what its attempts came to. It holds no prompts, bodies or names of clients. Thread safe.
 */
public final class RequestLedger {
    /** An invariant that does not hold. The names are part of status documents. */
    public enum Violation {
        /** Admitted is not in progress and ended together. */
        SUM,
        /** An action that may run once had two attempts that may have run. */
        RUN_TWICE,
        /** An action had two terminal events, or one without being admitted. */
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

    /** Counts of one class under one revision of the rules. */
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

        /** Counts the end of an action; a cause of null is an answer. */
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
    /** By revision and class, in the order of their text, which reports keep. */
    private final Map<String, ClassCounters> countersByClass = new TreeMap<>();

    private long endedTwice;

    /**
     * An action begins.
     *
     * @param revision revision of the rules that it is admitted under, 0 if there are none
     * @param idempotent whether it may run more than once
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

    /** An attempt goes out to an engine; it may resume an earlier one. */
    public synchronized void onSent(String actionId, boolean resumes) {
        OpenAction action = openActions.get(actionId);
        if (action == null) {
            return;
        }
        action.sent++;
        action.counters.sent++;
        action.counters.resumed += resumes ? 1 : 0;
    }

    /** The engine said that an attempt which was sent has not run. */
    public synchronized void onNotRun(String actionId) {
        OpenAction action = openActions.get(actionId);
        if (action == null) {
            return;
        }
        action.notRun++;
        action.counters.notRun++;
    }

    /** The action's one terminal event. */
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
     * What the node reports of itself.
     *
     * @param life the node's incarnation
     * @param seq number of the report within it
     * @param revision revision of the rules in force, 0 if there are none
     * @param digest digest of the rules in force, 0 if there are none
     */
    public synchronized LedgerReport report(long life, long seq, long revision, long digest) {
        List<LedgerRow> rows = new ArrayList<>();
        countersByClass.values().forEach(counters -> rows.add(counters.toRow()));
        return new LedgerReport(life, seq, revision, digest, endedTwice, rows);
    }

    /** The invariants that a report violates; empty for a sound one. */
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
