package ringspindle.cli;

import jakarta.json.JsonObject;
import jakarta.json.JsonValue;
import java.util.function.BiConsumer;
import ringspindle.api.Operation;
import ringspindle.config.FleetConfig;
import ringspindle.config.Validated.Valid;

/**
 * A document of the control plane with a revision: it is replaced only while the revision that the change builds on is
 * in force, so that no change of somebody else gets lost.
 */
final class RevisionedDocument {
    private final Operation read;
    private final ControlPlaneClient client;
    private final Console console;

    /** The document that {@code read} gets. */
    RevisionedDocument(Operation read, ControlPlaneClient client, Console console) {
        this.read = read;
        this.client = client;
        this.console = console;
    }

    /**
     * Sends a change.
     *
     * @param write replaces or patches the document
     * @param base the revision to build on, null for the one in force
     * @param body the change, in JSON
     */
    ExitCode update(Operation write, Long base, byte[] body) throws InterruptedException {
        if (base != null) {
            return send(write, base, body);
        }
        ControlPlaneReply current = client.call(read);
        if (current instanceof ControlPlaneReply.Accepted accepted) {
            return send(write, accepted.json().getJsonNumber("revision").longValue(), body);
        }
        return current.isNotFound() ? send(write, 0, body) : console.report(current);
    }

    private ExitCode send(Operation write, long base, byte[] body) throws InterruptedException {
        return console.report(
                client.call(ControlPlaneCall.of(write).ifRevision(base).withBody(body)));
    }

    /**
     * Compares a file with the document in force.
     *
     * @param body the file
     * @param printer takes the document in force, an empty object if there is none, and the file's
     */
    ExitCode diff(byte[] body, BiConsumer<JsonObject, JsonObject> printer) throws InterruptedException {
        ControlPlaneReply reply = client.call(read);
        JsonObject current = JsonValue.EMPTY_JSON_OBJECT;
        if (reply instanceof ControlPlaneReply.Accepted accepted) {
            current = accepted.json();
        } else if (!reply.isNotFound()) {
            return console.report(reply);
        }
        if (!(FleetConfig.json(body) instanceof Valid<JsonObject> changed)) {
            return console.notJson();
        }
        console.print(
                "revision " + current.get("revision") + " -> " + changed.value().get("revision"));
        printer.accept(current, changed.value());
        return ExitCode.OK;
    }
}
