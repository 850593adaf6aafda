package ringspindle.conf;

import java.util.List;

/** A value, or what is wrong with it. */
public sealed interface Checked<T> {
    /** A value that passed all checks. */
    record Good<T>(T value) implements Checked<T> {}

    /** The problems for which there is no value. */
    record Refused<T>(List<Problem> problems) implements Checked<T> {}

    /** {@code Checked.refused(new Problem.Missing("node.zone"))}. */
    static <T> Checked<T> refused(Problem... p) {
        return new Refused<>(List.of(p));
    }
}
