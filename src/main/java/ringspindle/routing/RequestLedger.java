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
 * the rest ended, and what its attempts came to. No prompts, bodies or names of clients. Thread safe.
 */
public final class RequestLedger {
    /** A law that does not hold. */
    public enum Broken {
        /** Admitted is not in progress and ended together. */
        SUM,
        /** An action that may run once had two attempts that may have run. */
        RUN_TWICE,
        /** An action had two terminal events, or one without being admitted. */
        ENDED_TWICE
    }

    private static final class Open {
        final Row row;
        final boolean repeatable;
        int sent;
        int notRun;

        Open(Row row, boolean repeatable) {
            this.row = row;
            this.repeatable = repeatable;
        }
    }

    private static final class Row {
        final long revision;
        final String cls;
        long admitted;
        long inProgress;
        final long[] ended = new long[1 + CancelCause.values().length];
        long sent;
        long notRun;
        long mayHaveRun;
        long resumed;
        long runTwice;

        Row(long revision, String cls) {
            this.revision = revision;
            this.cls = cls;
        }
    }

    private final Map<String, Open> open = new HashMap<>();
    private final Map<String, Row> rows = new TreeMap<>();
    private long endedTwice;

    /** An action begins under a revision and class; {@code ledger.admitted("f-1", 3, "digests", false)}. */
    public synchronized void admitted(String action, long revision, String cls, boolean repeatable) {
        Row r = rows.computeIfAbsent(revision + " " + cls, k -> new Row(revision, cls));
        if (open.putIfAbsent(action, new Open(r, repeatable)) != null) {
            endedTwice++;
            return;
        }
        r.admitted++;
        r.inProgress++;
    }

    /** An attempt goes out to an engine. */
    public synchronized void sent(String action, boolean resumes) {
        Open o = open.get(action);
        if (o != null) {
            o.sent++;
            o.row.sent++;
            o.row.resumed += resumes ? 1 : 0;
        }
    }

    /** The engine said that an attempt which was sent has not run. */
    public synchronized void notRun(String action) {
        Open o = open.get(action);
        if (o != null) {
            o.notRun++;
            o.row.notRun++;
        }
    }

    /** The action's one terminal event. */
    public synchronized void ended(TerminalEvent t) {
        Open o = open.remove(t.actionId());
        if (o == null) {
            endedTwice++;
            return;
        }
        Row r = o.row;
        r.inProgress--;
        r.ended[t.cause() == null ? 0 : 1 + t.cause().ordinal()]++;
        int mayHaveRun = o.sent - o.notRun;
        r.mayHaveRun += mayHaveRun;
        r.runTwice += !o.repeatable && mayHaveRun > 1 ? 1 : 0;
    }

    /** What a node tells of itself; {@code ledger.report(life, seq, 3, digest)}. */
    public synchronized LedgerReport report(long life, long seq, long revision, long digest) {
        List<LedgerRow> out = new ArrayList<>();
        for (Row r : rows.values()) {
            out.add(new LedgerRow(
                    r.revision,
                    r.admitted,
                    r.inProgress,
                    r.ended[0],
                    r.ended[1],
                    r.ended[2],
                    r.ended[3],
                    r.ended[4],
                    r.sent,
                    r.notRun,
                    r.mayHaveRun,
                    r.resumed,
                    r.runTwice,
                    r.cls));
        }
        return new LedgerReport(life, seq, revision, digest, endedTwice, out);
    }

    /** The laws that a report breaks; empty for a sound one: {@code RequestLedger.broken(report)}. */
    public static Set<Broken> broken(LedgerReport l) {
        Set<Broken> out = new TreeSet<>();
        if (l.endedTwice() > 0) {
            out.add(Broken.ENDED_TWICE);
        }
        for (LedgerRow r : l.rows()) {
            if (r.admitted()
                    != r.inProgress() + r.completed() + r.clientGone() + r.overdue() + r.nodeEnds() + r.givenUp()) {
                out.add(Broken.SUM);
            }
            if (r.runTwice() > 0) {
                out.add(Broken.RUN_TWICE);
            }
        }
        return out;
    }
}
