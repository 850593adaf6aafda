package ringspindle.transport;

import com.google.common.flogger.FluentLogger;
import java.util.function.IntConsumer;

/**
 * Ends the process when work that must go on for ever meets an {@link Error}: a node that goes on without it would look alive
 * and serve old state, while one that ends is started again.
 */
public final class FatalErrors {
    /** The exit code of a process that ends so. */
    public static final int EXIT_CODE = 70;

    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

    private FatalErrors() {}

    /** Logs the error and ends the process without shutdown hooks, as these may need what is broken. */
    public static void end(String what, Error error) {
        end(what, error, Runtime.getRuntime()::halt);
    }

    static void end(String what, Error error, IntConsumer exit) {
        try {
            LOG.atSevere().withCause(error).log("%s cannot go on: the process ends", what);
        } finally {
            exit.accept(EXIT_CODE);
        }
    }
}
