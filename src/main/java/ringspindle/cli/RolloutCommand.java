package ringspindle.cli;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import jakarta.json.Json;
import jakarta.json.JsonObjectBuilder;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import ringspindle.api.Operation;

/** {@code rollout}: shows the roll-outs of checkpoints, starts one, or orders what becomes of one. */
@Parameters(commandDescription = "show | start SERVICE --target N | resume SERVICE | abort SERVICE | back SERVICE")
final class RolloutCommand extends FleetCommand {
    private static final Set<String> ORDERS = Set.of("start", "resume", "abort", "back");
    private static final String[] COLUMNS = {"service", "state", "target", "from", "turn", "swapped", "cause"};

    @Parameter(description = "show | start SERVICE | resume SERVICE | abort SERVICE | back SERVICE")
    private List<String> arguments = new ArrayList<>();

    @Parameter(names = "--target", description = "the checkpoint that all engines are to have")
    private Long target;

    @Parameter(names = "--at-once", description = "how many engines may be out for it at a time")
    private int atOnce = 1;

    @Parameter(names = "--floor", description = "share of a region's engines that stays in service")
    private double floor = 0.5;

    @Parameter(names = "--patience", description = "seconds after which an engine that has not swapped pauses it")
    private int patienceS = 120;

    @Override
    ExitCode run(ControlPlaneClient client, Console console) throws InterruptedException {
        String verb = verb(arguments, "show");
        if (verb.equals("show") && arguments.size() <= 1) {
            return console.show(
                    client.call(Operation.ROLLOUTS),
                    wantsJson(),
                    reply -> console.printTable(reply.getJsonArray("rollouts"), COLUMNS));
        }
        if (arguments.size() != 2 || !ORDERS.contains(verb)) {
            throw expected("rollout show | start SERVICE --target N | resume SERVICE | abort SERVICE | back SERVICE");
        }
        String service = arguments.get(1);
        return console.report(
                client.call(ControlPlaneCall.of(Operation.ROLLOUT, service).withBody(order(verb))));
    }

    private byte[] order(String verb) {
        JsonObjectBuilder order = Json.createObjectBuilder().add("order", verb);
        if (verb.equals("start")) {
            if (target == null) {
                throw expected("rollout start SERVICE --target N");
            }
            order.add("target", target)
                    .add("atOnce", atOnce)
                    .add("floor", floor)
                    .add("patienceS", patienceS);
        }
        return order.build().toString().getBytes(UTF_8);
    }
}
