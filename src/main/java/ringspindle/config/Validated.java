package ringspindle.config;

import java.util.List;

/** A value, or what is wrong with it. */
public sealed interface Validated<T> {
    /** A value that passed all checks. */
    record Valid<T>(T value) implements Validated<T> {}

    /** The problems for which there is no value. */
    record Invalid<T>(List<ConfigError> problems) implements Validated<T> {}

    /** {@code Validated.refused(new ConfigError.Missing("node.zone"))}. */
    static <T> Validated<T> refused(ConfigError... p) {
        return new Invalid<>(List.of(p));
    }
}
