package ringspindle.config;

import java.util.List;

/** The result of a validation: a valid value, or the errors for which there is none. */
public sealed interface Validated<T> {
    /** A value that passed all checks. */
    record Valid<T>(T value) implements Validated<T> {}

    /** All errors that were found, at least one. */
    record Invalid<T>(List<ConfigError> errors) implements Validated<T> {}

    /** A result with these errors. */
    static <T> Validated<T> refused(ConfigError... errors) {
        return new Invalid<>(List.of(errors));
    }
}
