package ringspindle.conf;

import java.util.*;

/** A value, or what is wrong with it. */
public sealed interface Checked<T> {
    record Good<T>(T value) implements Checked<T> {
    }

    record Refused<T>(List<Problem> problems) implements Checked<T> {
    }

    /** {@code Checked.refused(new Problem.Missing("node.zone"))}. */
    static <T> Checked<T> refused(Problem... p) {
        return new Refused<>(List.of(p));
    }
}
