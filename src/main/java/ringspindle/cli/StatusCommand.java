package ringspindle.cli;

import com.beust.jcommander.Parameters;
import jakarta.json.JsonArray;
import jakarta.json.JsonObject;
import ringspindle.api.Operation;

/** {@code status}: one control node's view of the control plane, and the nodes it knows. */
@Parameters(commandDescription = "nodes, sessions, view and chain, duties with epochs")
final class StatusCommand extends FleetCommand {
    @Override
    ExitCode run(ControlPlaneClient client, Console console) throws InterruptedException {
        return console.show(client.call(Operation.STATUS), wantsJson(), status -> print(status, console));
    }

    private static void print(JsonObject status, Console console) {
        console.print(
                "asked " + status.getString("node") + ", in touch with a majority: " + status.getBoolean("quorate"));
        console.print(
                "proven " + status.get("provenAgoMs") + " ms ago, awaited: " + status.getString("awaited", "unknown"));
        if (status.get("view") instanceof JsonObject view) {
            console.print(
                    "view " + view.get("epoch") + ", chain " + view.get("chain") + ", voters " + view.get("voters"));
        }
        console.print("duties " + status.get("duties"));
        console.print("revision " + status.get("revision") + ", seq " + status.get("seq") + ", evacuated "
                + status.get("evacuated"));
        console.printTable(status.getJsonArray("sessions"), "name", "kind", "node", "zone", "linked", "ready");
        if (status.get("holders") instanceof JsonArray holders) {
            console.printTable(holders, "node", "epoch", "seq", "blank");
        }
        console.printTable(status.getJsonArray("nodes"), "name", "zone", "frontend", "ready", "leaving");
    }
}
