package ringspindle.replication;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** One request of a {@link RolloutSimulation} as its client saw it. */
final class RolloutRequest {
    final boolean resumable;
    /** Regions that it must not leave; empty for any. */
    final Set<String> homes;

    final List<Long> pieces = new ArrayList<>();
    /** The checkpoint that each piece came from. */
    final List<Long> weights = new ArrayList<>();
    /** Engines that ran it. */
    final Set<String> ran = new LinkedHashSet<>();

    int answers;
    boolean whole;
    boolean brokenOff;
    boolean refused;
    boolean engineCrashed;

    RolloutRequest(boolean resumable, Set<String> homes) {
        this.resumable = resumable;
        this.homes = homes;
    }

    /** Names every promise to the client that was broken. */
    List<String> problems(int number) {
        List<String> out = new ArrayList<>();
        String request = "request " + number;
        if (answers > 1 || answers == 1 && refused) {
            out.add(request + " has two answers");
        }
        if (answers == 0 && !refused) {
            out.add(request + " has no answer");
        }
        if (new HashSet<>(weights).size() > 1) {
            out.add(request + " mixes checkpoints " + new LinkedHashSet<>(weights));
        }
        if (refused && !pieces.isEmpty()) {
            out.add(request + " was refused though it ran");
        }
        if (brokenOff && !engineCrashed && !ran.isEmpty() && pieces.isEmpty()) {
            out.add(request + " was lost without a crash");
        }
        if (brokenOff && !engineCrashed && !pieces.isEmpty()) {
            out.add(request + " was broken off without a crash");
        }
        for (int i = 0; i < pieces.size(); i++) {
            if (pieces.get(i) != i + 1) {
                out.add(request + " has gaps");
            }
        }
        return out;
    }
}
