package ringspindle.experiment;

import java.util.Locale;
import ringspindle.experiment.ExperimentDay.Effect;
import ringspindle.experiment.ExperimentDay.Planted;
import ringspindle.experiment.ExperimentDay.Result;

/** Plays many simulated days and prints a line of CSV for each; docs/EXPERIMENTS.md says how it is called. No part of CI. */
final class ExperimentSoak {
    private ExperimentSoak() {}

    /** Arguments: first seed, days, seconds a day, requests a second, and for an effect its route, region, ms and part broken. */
    public static void main(String[] arguments) {
        long first = Long.parseLong(arguments[0]);
        int days = Integer.parseInt(arguments[1]);
        int lengthS = Integer.parseInt(arguments[2]);
        int requestsPerS = Integer.parseInt(arguments[3]);
        Effect effect = arguments.length == 4
                ? Effect.NONE
                : new Effect(
                        arguments[4],
                        Integer.parseInt(arguments[5]),
                        Double.parseDouble(arguments[6]),
                        Double.parseDouble(arguments[7]),
                        false);
        System.out.println(
                "seed,route,region,extra_ms,extra_broken,state,survivor,halted_s,looks,late_before,problems");
        for (long seed = first; seed < first + days; seed++) {
            Result result = new ExperimentDay(seed, effect, Planted.NOTHING, lengthS, requestsPerS).run();
            System.out.printf(
                    Locale.ROOT,
                    "%d,%s,%d,%.0f,%.3f,%s,%s,%.1f,%d,%d,%d%n",
                    seed,
                    effect.route(),
                    effect.region(),
                    effect.extraMs(),
                    effect.extraBroken(),
                    result.experiment().state(),
                    result.experiment().survivor(),
                    result.haltedMs() / 1000.0,
                    result.experiment().progress().looks(),
                    result.lateBefore(),
                    result.problems().size());
        }
    }
}
