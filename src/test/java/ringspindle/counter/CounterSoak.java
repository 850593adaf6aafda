package ringspindle.counter;

import java.util.List;
import java.util.Locale;

/** Plays many simulated histories and prints what broke, and figures; docs/PARTITIONS.md says how it is called. No part of CI. */
final class CounterSoak {
    private CounterSoak() {}

    /** Arguments: first seed, and how many. */
    public static void main(String[] arguments) {
        long first = Long.parseLong(arguments[0]);
        int count = Integer.parseInt(arguments[1]);
        long tries = 0;
        long acknowledged = 0;
        long inPartitions = 0;
        int broken = 0;
        for (long seed = first; seed < first + count; seed++) {
            CounterHistory history = CounterEpisodes.history(seed, CounterWorld.Planted.NOTHING);
            tries += history.tries();
            acknowledged += history.acknowledgements();
            inPartitions += history.inPartitions();
            List<String> violations = history.violations();
            if (!violations.isEmpty()) {
                broken++;
                System.out.printf(
                        Locale.ROOT, "seed %d: %d violations, first %s%n", seed, violations.size(), violations.get(0));
            }
        }
        System.out.printf(
                Locale.ROOT,
                "%d histories, %d broken; %d increments, %d acknowledged, %d of them in partitions%n",
                count,
                broken,
                tries,
                acknowledged,
                inPartitions);
    }
}
