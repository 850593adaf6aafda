package ringspindle.cli;

import jakarta.json.JsonObject;
import java.util.Set;
import java.util.TreeSet;

/** The control nodes that can be asked one by one, for what each of them knows by itself. */
final class ControlNodes {
    private ControlNodes() {}

    /** Those given on the command line, and those that have sessions by the status page of one. */
    static Set<String> known(ControlPlaneClient client, JsonObject status) {
        Set<String> nodes = new TreeSet<>(client.nodes());
        for (JsonObject session : status.getJsonArray("sessions").getValuesAs(JsonObject.class)) {
            String control = session.getString("control", "");
            if (!control.isEmpty()) {
                nodes.add(control);
            }
        }
        return nodes;
    }
}
