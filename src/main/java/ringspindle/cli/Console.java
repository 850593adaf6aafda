package ringspindle.cli;

import jakarta.json.JsonArray;
import jakarta.json.JsonObject;
import java.io.PrintStream;
import java.util.List;
import java.util.function.Consumer;
import ringspindle.config.ConfigError;

/**
 * Where commands print, and the messages that they share.
 *
 * @param out results
 * @param err errors
 */
record Console(PrintStream out, PrintStream err) {
    void print(Object line) {
        out.println(line);
    }

    void printError(String line) {
        err.println(line);
    }

    void printTable(JsonArray rows, String... columns) {
        new TablePrinter(List.of(columns)).print(rows, out);
    }

    /** A file is invalid, for the errors given; {@code part} comes before each, empty for none. */
    ExitCode refused(String part, List<ConfigError> errors) {
        errors.forEach(error -> printError("refused: " + part + error.text()));
        return ExitCode.REFUSED;
    }

    /** A file is no JSON object. */
    ExitCode notJson() {
        printError("refused: not a whole JSON object");
        return ExitCode.REFUSED;
    }

    /** Says what became of an order. */
    ExitCode report(ControlPlaneReply reply) {
        if (reply instanceof ControlPlaneReply.Accepted) {
            print("done");
            return ExitCode.OK;
        }
        if (reply instanceof ControlPlaneReply.Rejected rejected) {
            printError("refused: " + rejected.status() + " " + rejected.reason());
            return ExitCode.REFUSED;
        }
        printError("not reached: no control node gave a clear answer");
        return ExitCode.NOT_REACHED;
    }

    /** Prints what was read, or why it was not: as sent if {@code asJson}, otherwise by {@code printer}. */
    ExitCode show(ControlPlaneReply reply, boolean asJson, Consumer<JsonObject> printer) {
        if (!(reply instanceof ControlPlaneReply.Accepted accepted)) {
            return report(reply);
        }
        if (asJson) {
            print(accepted.body());
        } else {
            printer.accept(accepted.json());
        }
        return ExitCode.OK;
    }
}
