package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import ringspindle.config.Validated;
import ringspindle.protocol.Message.Mark;
import ringspindle.routing.ServingRules;

/** What callers and nodes of a {@link ChainSimulation} saw, for checking after the fact. */
final class SimulationHistory {
    /** An acknowledged configuration: the revision that it replaced, its own, and when. */
    record Acked(long base, long revision, long atMs) {}

    final List<Acked> acked = new ArrayList<>();
    /** Bodies by revision, of orders that were acknowledged or read back. */
    final Map<Long, String> sent = new TreeMap<>();

    final List<String> wrong = new ArrayList<>();
    /** What was acknowledged last of each zone, and every engine whose leaving was. */
    final Map<String, String> evacuations = new TreeMap<>();

    final Set<String> leaving = new TreeSet<>();
    /** The newest serving rules that were acknowledged. */
    long rules;
    /** The target of the roll-out that was acknowledged last, and whether it was given up since. */
    long rolloutTarget = -1;

    boolean rolloutAborted;
    /** The configuration's revision that a reading at the end gave, -1 without one. */
    long readBack = -1;

    String readBody;
    int refused;
    private final Map<Long, Long> revisionOfSeq = new TreeMap<>();
    private final Map<Long, Long> rulesWinner = new TreeMap<>();
    private final Map<String, String> marksAtEnd = new TreeMap<>();

    private static String key(MarkKind kind, String key) {
        return kind + " " + key;
    }

    // ---- what is noted

    /** Every node has to commit the same revision under a sequence number. */
    void committed(long seq, long revision) {
        Long had = revisionOfSeq.putIfAbsent(seq, revision);
        if (had != null && had != revision) {
            wrong.add("seq " + seq + " is " + had + " here and " + revision + " there");
        }
    }

    void rulesAcknowledged(long base, long revision) {
        Long other = rulesWinner.put(base, revision);
        if (other != null && other != revision) {
            wrong.add("two serving rules on " + base + ": " + other + " and " + revision);
        }
        rules = Math.max(rules, revision);
    }

    void markAtEnd(Mark mark) {
        marksAtEnd.put(key(MarkKind.of(mark), mark.key()), mark.value());
    }

    private String atEnd(MarkKind kind, String key) {
        return marksAtEnd.get(key(kind, key));
    }

    long newestAcknowledged() {
        return acked.stream().mapToLong(Acked::revision).max().orElse(0);
    }

    // ---- what is checked

    /** Names every broken promise. */
    List<String> problems() {
        List<String> problems = new ArrayList<>(wrong);
        checkWinners(problems);
        checkEvacuations(problems);
        checkRules(problems);
        checkRollout(problems);
        checkLeaving(problems);
        checkReadBack(problems);
        return problems;
    }

    private void checkWinners(List<String> problems) {
        Map<Long, Long> winner = new TreeMap<>();
        for (Acked order : acked) {
            Long other = winner.put(order.base(), order.revision());
            if (other != null && other != order.revision()) {
                problems.add("two winners on " + order.base() + ": " + other + " and " + order.revision());
            }
        }
    }

    private void checkEvacuations(List<String> problems) {
        evacuations.forEach((zone, value) -> {
            String found = atEnd(MarkKind.EVACUATED, zone);
            if (!value.equals(found)) {
                problems.add("zone " + zone + " ends as " + found + ", acknowledged was " + value);
            }
        });
    }

    private void checkRules(List<String> problems) {
        if (rules == 0) {
            return;
        }
        String found = atEnd(MarkKind.RULES, "");
        boolean kept = found != null
                && ServingRules.read(found.getBytes(UTF_8)) instanceof Validated.Valid<ServingRules> valid
                && valid.value().revision() >= rules;
        if (!kept) {
            problems.add("serving rules " + rules + " were acknowledged, at the end there is " + found);
        }
    }

    private void checkRollout(List<String> problems) {
        if (rolloutTarget < 0) {
            return;
        }
        String found = atEnd(MarkKind.ROLLOUT, "s");
        Rollout rollout = found == null ? null : Rollout.read(found);
        Rollout.Status expected = rolloutAborted ? Rollout.Status.ABORTED : Rollout.Status.RUNNING;
        if (rollout == null || rollout.targetWeights() != rolloutTarget || rollout.status() != expected) {
            problems.add("the roll-out to " + rolloutTarget + " aborted " + rolloutAborted + " ends as " + rollout);
        }
    }

    private void checkLeaving(List<String> problems) {
        for (String engine : leaving) {
            if (atEnd(MarkKind.LEAVING, engine) == null) {
                problems.add("that " + engine + " leaves was acknowledged and is forgotten");
            }
        }
    }

    private void checkReadBack(List<String> problems) {
        long newest = newestAcknowledged();
        if (readBack < newest) {
            problems.add("read back " + readBack + " though " + newest + " was acknowledged");
        }
        if (readBack > 0 && !readBody.equals(sent.get(readBack))) {
            problems.add("what was read back differs from what was sent as " + readBack);
        }
    }
}
